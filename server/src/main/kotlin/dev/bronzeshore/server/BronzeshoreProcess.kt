/** One running process: creates and connects all components and runs their periodic tasks. */
package dev.bronzeshore.server

import dev.bronzeshore.audit.AuditPruner
import dev.bronzeshore.audit.AuditReader
import dev.bronzeshore.audit.AuditRetention
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.OwnedDataCentre
import dev.bronzeshore.core.ProcessStatus
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.jobs.JobCallbacks
import dev.bronzeshore.ownership.Member
import dev.bronzeshore.ownership.MemberDirectory
import dev.bronzeshore.ownership.OwnershipHandover
import dev.bronzeshore.ownership.PROCESS_ROW_PERIOD_MS
import dev.bronzeshore.peering.PeerClient
import dev.bronzeshore.peering.PeerServer
import dev.bronzeshore.plans.ConfigurationHolder
import dev.bronzeshore.plans.ConfigurationRefresher
import dev.bronzeshore.plans.ConfigurationWriter
import dev.bronzeshore.platform.createPlatformHttpClient
import dev.bronzeshore.platform.createTableApi
import dev.bronzeshore.platform.createVmListApi
import dev.bronzeshore.platform.createWorkerApi
import dev.bronzeshore.requests.RequestProxy
import dev.bronzeshore.requests.RequestRouter
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.UUID
import kotlin.random.Random

private const val CONFIGURATION_PERIOD_MS = 1_000L
private const val MEMBERS_PERIOD_MS = 1_000L

/** The VM list is the largest periodic message; a leaving VM must get no new work after 3 s. */
private const val VMS_PERIOD_MS = 2_000L
private const val ALLOTMENTS_PERIOD_MS = 1_000L
private const val ADMISSION_PERIOD_MS = 100L
private const val AUDIT_PRUNE_PERIOD_MS = 3_600_000L
private const val PEER_TIMEOUT_MS = 800L
private const val MS_PER_DAY = 86_400_000L

/**
 * [control] is a single thread that owns all control state. [onFatal] is called when an invariant fails, because a
 * process with inconsistent state must not assign any more work.
 */
internal class BronzeshoreProcess(
    private val settings: Settings,
    private val clock: ClockMs,
    private val control: CoroutineDispatcher,
    private val onFatal: (Throwable) -> Unit,
) {
    private val log = ComponentLog("server")
    private val fatalHandler = CoroutineExceptionHandler { _, failure -> onFatal(failure) }
    private val controlScope = CoroutineScope(control + SupervisorJob() + fatalHandler)
    private val ioScope = CoroutineScope(Dispatchers.IO + SupervisorJob())
    private val selector = SelectorManager(Dispatchers.IO)
    private val platformClient = createPlatformHttpClient()
    private val table = createTableApi(platformClient, settings.platform.tableUrl)
    private val self = Member(
        // Unique per start: a restarted process does not remember the deputy leases that it granted.
        processId = "${settings.processId}-${UUID.randomUUID().toString().take(START_ID_CHARACTERS)}",
        dataCentre = settings.dataCentre,
        region = settings.region,
        address = "${settings.peers.host}:${settings.peers.port}",
    )
    private val directory = MemberDirectory(self, clock, table)
    private val configuration = ConfigurationHolder()
    private val tokens = CallerTokens()
    val readiness = Readiness()
    private val metrics = ProcessMetrics()
    private val peerClient = PeerClient(selector, clock, ioScope)
    private val gateway: PeerGateway = PeerGateway(self, clock, peerClient, { directory.members }, ::ownerIdOf)
    private var attempts = 0L
    private val vmInventory: VmInventory =
        VmInventory(clock, createVmListApi(platformClient, settings.platform.vmListUrl))
    private val dataCentres: DataCentres = DataCentres(supervisorContext())
    private val ownerService: OwnerService = OwnerService(dataCentres)
    private val jobRouter: JobRouter = JobRouter(gateway, ownerService, table) { configuration.current }
    private val proxy = RequestProxy(Dispatchers.Default, clock)
    private val requestRouter: RequestRouter =
        RequestRouter(control, clock, proxy, Random.Default, onSlotShortage = { requestSlots() })
    private val allotmentRefresher: AllotmentRefresher =
        AllotmentRefresher(gateway, ownerService, requestRouter, dataCentres, self.processId)
    private val configurationRefresher = ConfigurationRefresher(table, configuration)
    private val configurationWriter: ConfigurationWriter =
        ConfigurationWriter(table, clock, ::newWriteId, onAccepted = { publishConfiguration(it) })
    private val httpServers: HttpServers = HttpServers(settings, callerContext(), operatorContext())

    private fun ownerIdOf(dataCentre: String): String? = dataCentres.ownerIdOf(dataCentre)

    private fun supervisorContext(): SupervisorContext = SupervisorContext(
        self = self,
        clock = clock,
        table = table,
        workerApi = createWorkerApi(platformClient),
        controlScope = controlScope,
        members = { directory.members },
        isGone = { vmInventory.isGone(it) },
        callDeputy = { member, request -> gateway.call(member, PeerCalls.deputyLease, request, PEER_TIMEOUT_MS) },
        kindOf = ::kindOf,
        callbacks = JobCallbacks(
            onPartFailed = { workerId, jobId ->
                vmInventory.partFailed(workerId, jobId)
                metrics.countPartFailure(workerId)
            },
            onPartSucceeded = { workerId, jobId -> vmInventory.partSucceeded(workerId, jobId) },
            onPartStarted = { workerId, jobId, kind, waitMs ->
                vmInventory.partStarted(workerId, jobId)
                metrics.observeWait(kind, waitMs)
            },
            onPreemption = { _, _, _ -> metrics.countPreemption() },
        ),
        nextAttempt = { attempts++ },
    )

    private fun callerContext(): CallerContext =
        CallerContext(clock, control, tokens, jobRouter, requestRouter, metrics, readiness)

    private fun operatorContext(): OperatorContext = OperatorContext(
        clock = clock,
        control = control,
        tokenSha256 = settings.operatorTokenSha256,
        configuration = { configuration.current },
        writer = configurationWriter,
        audit = AuditReader(table),
        jobs = jobRouter,
        vms = { vmInventory.status() },
        status = ::status,
        metrics = metrics,
    )

    private fun kindOf(plan: String, kind: String): WorkKind? =
        configuration.current.plans.find { it.name == plan }?.kinds?.find { it.name == kind }

    /** Listens on all ports and starts the periodic tasks. */
    suspend fun start() {
        withContext(control) { configuration.addListener(::onConfiguration) }
        PeerServer(
            selector,
            clock,
            peerHandlers(control, ownerService, configuration),
        ).start(settings.peers.host, settings.peers.port, ioScope)
        httpServers.start()
        startLoops()
        log.info { "Process ${self.processId} listens for callers on port ${settings.callers.port}." }
    }

    private fun startLoops() {
        controlScope.repeatEvery(PROCESS_ROW_PERIOD_MS) { if (!readiness.isStopping) directory.announce() }
        controlScope.repeatEvery(MEMBERS_PERIOD_MS) { directory.refresh() }
        controlScope.repeatEvery(CONFIGURATION_PERIOD_MS) { refreshConfiguration() }
        controlScope.repeatEvery(VMS_PERIOD_MS) { refreshVms() }
        controlScope.repeatEvery(ALLOTMENTS_PERIOD_MS) { requestSlots() }
        controlScope.repeatEvery(ADMISSION_PERIOD_MS) { requestRouter.tick() }
        val retention = AuditRetention(settings.auditRetentionDays * MS_PER_DAY)
        controlScope.repeatEvery(AUDIT_PRUNE_PERIOD_MS) { AuditPruner(table, clock, retention, ::newWriteId).prune() }
    }

    /** Reads the configuration from the table service; asks peers if that fails and no configuration is known yet. */
    private suspend fun refreshConfiguration() {
        val fromTable = configurationRefresher.refresh()
        if (fromTable.isRight() || configuration.isKnown) return
        gateway.peers.firstNotNullOfOrNull { peer ->
            gateway.call(peer, PeerCalls.configurationPull, Acknowledged(), PEER_TIMEOUT_MS).getOrNull()
        }?.let(configuration::offer)
    }

    private fun requestSlots(): Unit = allotmentRefresher.targets().forEach { dataCentre ->
        controlScope.launch { allotmentRefresher.refresh(dataCentre) }
    }

    private suspend fun refreshVms() {
        vmInventory.refresh()
        requestRouter.retainEndpoints(vmInventory.endpointIds())
        metrics.snapshot = snapshot()
        applyVms()
    }

    private suspend fun applyVms() {
        dataCentres.update(viewsByDataCentre(vmInventory.vms(), configuration.current, vmInventory::isQuarantined))
        requestRouter.setLeaving(vmInventory.leavingEndpoints())
    }

    private fun onConfiguration(current: Configuration) {
        tokens.replace(current)
        vmInventory.setMarks(current.marks)
        controlScope.launch {
            requestRouter.configure(current.plans)
            applyVms()
            readiness.isConfigured = true
        }
    }

    private fun publishConfiguration(accepted: Configuration) {
        configuration.offer(accepted)
        gateway.peers.forEach { peer ->
            controlScope.launch { gateway.call(peer, PeerCalls.configurationPush, accepted, PEER_TIMEOUT_MS) }
        }
    }

    private fun snapshot() = ProcessSnapshot(
        ownedDataCentres = dataCentres.all.count { it.ownership.mayAct() },
        openJobs = dataCentres.all.sumOf { supervisor -> supervisor.jobs.fold({ 0 }, { it.openJobCount }) },
        quarantinedWorkers = vmInventory.quarantinedCount(),
        configurationVersion = configuration.current.version,
        requestsInFlight = requestRouter.inFlight,
    )

    private fun status(): ProcessStatus = ProcessStatus(
        processId = self.processId,
        dataCentre = self.dataCentre,
        configurationVersion = configuration.current.version,
        owned = dataCentres.all.filter { it.ownership.mayAct() }
            .map { OwnedDataCentre(it.dataCentre, it.ownership.state.term, it.ownership.actUntilMs) },
        members = directory.members.map { it.processId },
        ready = readiness.isReady,
    )

    /** Stops gracefully: accepts no new work, hands ownership over and waits for requests in flight. */
    suspend fun stop(deadlineMs: Long) {
        readiness.isStopping = true
        log.info { "Stopping; waiting for requests in flight." }
        withContext(control) {
            directory.withdraw()
            dataCentres.all.forEach { supervisor ->
                supervisor.ownership.handOver()?.let { notifyNextOwner(it) }
            }
        }
        httpServers.awaitLoadBalancer()
        requestRouter.stopAccepting()
        requestRouter.awaitInFlight(deadlineMs)
        httpServers.stop()
        controlScope.cancel()
        ioScope.cancel()
        proxy.close()
        platformClient.close()
        log.info { "Stopped." }
    }

    private fun newWriteId(): String = UUID.randomUUID().toString()

    private suspend fun notifyNextOwner(message: OwnershipHandover) {
        val next = directory.members.find { it.processId == message.nextOwnerId } ?: return
        gateway.call(next, PeerCalls.handover, message, PEER_TIMEOUT_MS)
    }

    private companion object {
        const val START_ID_CHARACTERS = 8
    }
}
