/** A cluster process: each process answers callers, and one of them is the leader. */
package dev.bronzeshore.server.cluster

import arrow.core.right
import dev.bronzeshore.accounts.ConfigProof
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ElapsedClock
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterSettings
import dev.bronzeshore.core.cluster.JobOperations
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.intake.createStoreJobOperations
import dev.bronzeshore.leadership.HeldTermMonitor
import dev.bronzeshore.leadership.LeaderElection
import dev.bronzeshore.leadership.LeaderTerm
import dev.bronzeshore.leadership.LeadershipCallbacks
import dev.bronzeshore.leadership.candidateDelayMs
import dev.bronzeshore.leadership.leaderCapacity
import dev.bronzeshore.peering.PeerClient
import dev.bronzeshore.peering.PeerServer
import dev.bronzeshore.peering.handlerOf
import dev.bronzeshore.platform.cluster.CallerServerAddresses
import dev.bronzeshore.platform.cluster.CallerServerContext
import dev.bronzeshore.platform.cluster.PlatformClient
import dev.bronzeshore.platform.cluster.startCallerServer
import dev.bronzeshore.scheduler.LeaderDependencies
import dev.bronzeshore.scheduler.LeaderTermRunner
import dev.bronzeshore.scheduler.MemoryUse
import dev.bronzeshore.scheduler.TermControl
import dev.bronzeshore.scheduler.TermRenewal
import dev.bronzeshore.scheduler.WorkerDirectory
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.withContext
import java.util.UUID

/** Time until the load balancer sees that a process is not ready: two probes, one per second, plus a margin. */
private const val LOAD_BALANCER_DETECTION_MS = 2_700L

/** Part of the stop signal's grace period that is reserved for the exit of the process itself. */
private const val EXIT_RESERVE_MS = 900L
private const val STOP_POLL_MS = 50L

/** Pause before a component starts again after an unexpected error. */
private const val RESTART_PAUSE_MS = 200L

/** Processes answer this call from memory; a peer that does not respond must not delay the call to the next one. */
private const val CONFIG_TIMEOUT_MS = 250L

/** Above this write latency the change feeds of the store are slow as well, so new jobs are announced. */
private const val ANNOUNCE_MIN_LATENCY_MS = 60L

/** With a store response this recent the store is available; a late renewal is then due to the leader's own load. */
private const val RECENT_SUCCESS_MS = 400L

/** Two renewal periods; the other processes take over after 1.4 s without a renewal. */
private const val RENEWAL_OVERDUE_MS = 1_100L

internal class ClusterProcess(
    private val settings: ClusterSettings,
    private val control: CoroutineDispatcher,
    ioDispatcher: CoroutineDispatcher,
    private val scope: CoroutineScope,
    private val clock: ClockMs,
) {
    private val log = EventLog("process")
    private val wallClock: ClockMs = System::currentTimeMillis
    private val bootId = UUID.randomUUID().toString()
    private val selector = SelectorManager(ioDispatcher)
    private val platform = PlatformClient(selector, ioDispatcher, settings.storeAddress, settings.adviceAddress)
    private val health = StoreHealth(clock)
    private val elapsedClock = ElapsedClock(clock, wallClock)
    private val heldTerms = HeldTermMonitor(elapsedClock::nowMs)
    private val store = heldTerms.monitor(health.monitor(platform.store))
    private val peerClient = newPeerClient()
    private val ownRow = NodeRow(
        settings.processName,
        bootId,
        "${settings.peers.host}:${settings.peers.port}",
        leaderCapacity(settings.processorShare, settings.linkMbps),
    )
    private val directory: NodeDirectory = NodeDirectory(store, ownRow) { election.currentTerm != null }
    private val configProof = ConfigProof(clock, wallClock, settings.bounds.keyWithdrawalMs)
    private val config = ConfigWatcher(store, clock, configProof, { directory.peers }) { peer, version ->
        peerClient.call(peer, CONFIG_CALL, ConfigRequest(version), CONFIG_TIMEOUT_MS)
    }
    private val metrics = ClusterMetrics(
        configVersion = { config.current?.version ?: 0 },
        configAgeMs = { configProof.ageMs ?: 0 },
        term = { election.currentTerm?.term ?: 0 },
        memoryUse = { runner?.reportedMemoryUse ?: MemoryUse() },
    )
    private val localJobs: JobOperations =
        createStoreJobOperations(store, clock, { health.isAvailable }, scope)
    private val access = AccessGate(configProof) { metrics.countRefusedCall(it) }
    private val jobs = JobRequestForwarder(localJobs, health, { directory.peers }, peerClient)
    private val election: LeaderElection = LeaderElection(
        store,
        ownRow,
        clock,
        { candidateDelayMs(ownRow, directory.peers) },
        LeadershipCallbacks(
            onGained = { terms.start(it) },
            onLost = { terms.end(it) },
            onRenewalFailed = { term -> scope.launch(control) { handOverUnlessStoreAvailable(term) } },
        ),
    )
    private val leaderClient: LeaderClient by lazy {
        LeaderClient(ownRow, election, { directory.peers }, peerClient, newPeerClient()) { bytes ->
            onControlThread { gate.updateAllowance(bytes) }
        }
    }
    private val voting = LeaseVoting(
        settings.processName,
        store,
        heldTerms,
        AuthorityClocks(clock, elapsedClock::nowMs),
        { election },
        { directory.peers },
        newPeerClient(VOTE_CLOCK_SKEW_ALLOWANCE_MS),
    )
    private val terms = TermSupervisor(
        scope + control,
        create = { LeaderTermRunner(dependencies(it), it.term, it.termRowVersion) },
        run = { it.run() },
        onFailed = ::releaseFailed,
    )

    /** The leader's work if this process leads. */
    private val runner: LeaderTermRunner? get() = terms.running
    private val gate = SubmissionGate(clock, jobs, { runner }, { directory.peers.size + 1 }) {
        leaderClient.reserve(it)
    }
    private val inFlight = InFlightRequests(control)

    @Volatile
    private var isStopping = false

    /** Starts all components; returns once the ports are bound. */
    suspend fun start() = withContext(control) {
        log.event("start", "process" to settings.processName, "data_centre" to settings.dataCentre, "boot" to bootId)
        startCallerServer(
            CallerServerAddresses(settings.callers, settings.readiness, settings.metrics),
            CallerServerContext(
                jobs = inFlight.track(JobOperations(::submit, ::stateOf, jobs::cancel, jobs::waitingJobCount)),
                config = { config.current },
                decideAccess = access::decide,
                isReady = ::isReady,
                isStopping = { isStopping },
                clock = wallClock,
                metrics = metrics::scrape,
                countAnswer = metrics::countAnswer,
            ),
        )
        PeerServer(selector, wallClock, handlers()).start(settings.peers.host, settings.peers.port, scope)
        launchRestarting("directory") { directory.run() }
        launchRestarting("config") { config.run() }
        launchRestarting("election") { election.run() }
        launchRestarting("leader watch") { leaderClient.watch() }
    }

    /** Runs a component until the process ends; after an unexpected error it starts again. */
    private fun launchRestarting(name: String, run: suspend () -> Unit) = scope.launch {
        while (true) {
            try {
                run()
            } catch (failure: CancellationException) {
                throw failure
            } catch (failure: Exception) {
                log.event("unexpected_error", "work" to name, "cause" to failure.stackTraceToString())
                metrics.countUnexpectedError(name)
            }
            delay(RESTART_PAUSE_MS)
        }
    }

    /**
     * Hands over leadership and waits until the load balancer has noticed and no request is in flight.
     *
     * The wait ends with the grace period of the stop signal, less a reserve for the exit.
     */
    suspend fun stop() {
        val startedAtMs = clock()
        isStopping = true
        log.event("stop", "process" to settings.processName, "leads" to (election.currentTerm != null))
        scope.launch(control) { handOverLeadership() }
        delay(LOAD_BALANCER_DETECTION_MS)
        while (inFlight.count > 0 &&
            clock() - startedAtMs < settings.bounds.stopSignalGraceMs - EXIT_RESERVE_MS
        ) {
            delay(STOP_POLL_MS)
        }
        log.event("stopped", "in_flight" to inFlight.count, "duration_ms" to clock() - startedAtMs)
    }

    /** Keeps leading until another process has taken over; releases the term if none does. */
    private suspend fun handOverLeadership() {
        election.withdraw()
        election.currentTerm?.let { handOver(it) }
        election.release()
    }

    private suspend fun handOver(term: LeaderTerm) {
        if (leaderClient.handOver(term.term)) election.stepDown(term)
    }

    /** One late renewal can be due to load alone: hands over if the store is unavailable or a second one is late. */
    private suspend fun handOverUnlessStoreAvailable(term: LeaderTerm) {
        val now = clock()
        val isStoreAvailable =
            now - health.lastSuccessAtMs < RECENT_SUCCESS_MS && now - election.renewedAtMs < RENEWAL_OVERDUE_MS
        // While only the leader's partition does not respond, no other process can take over; one that was asked to
        // would do so as soon as the partition is back.
        val isServedElsewhere = runner?.confirmedInPartitionAtMs?.let { now - it < RENEWAL_OVERDUE_MS } ?: false
        if (!isStoreAvailable && !isServedElsewhere) handOver(term)
    }

    private fun newPeerClient(clockSkewAllowanceMs: Long = CLOCK_SKEW_ALLOWANCE_MS) =
        TimedPeerClient(PeerClient(selector, wallClock, scope), wallClock, clockSkewAllowanceMs)

    /** A term that cannot go on is given up at once, so that it is never held without its work. */
    private fun releaseFailed(term: LeaderTerm, failure: Exception) {
        log.event("unexpected_error", "work" to "term", "cause" to failure.stackTraceToString())
        metrics.countUnexpectedError("term")
        scope.launch(control) { election.release(term) }
    }

    private fun dependencies(won: LeaderTerm) = LeaderDependencies(
        store = store,
        calls = platform.workers,
        bounds = settings.bounds,
        clock = clock,
        wallClock = wallClock,
        metrics = metrics.forScheduler(),
        termControl = TermControl(
            TermRenewal(election::dueHeartbeat, election::recordRenewal) { election.renewedAtMs },
            voting.authorityOf(won),
            onLeadershipLost = { scope.launch(control) { election.stepDown(won) } },
        ),
        adviceClients = { adviceClients(settings.processName, platform.advice, directory.peers, peerClient) },
        workers = WorkerDirectory(PlatformClient.WORKER_TABLE, PlatformClient::parseWorkerChange),
        accounts = { config.current?.accounts },
    )

    private fun handlers() = listOf(
        handlerOf(ADVICE_CALL) { AdviceReply.of(platform.advice?.invoke(it.stepName, it.workerIds)).right() },
        handlerOf(SUBMIT_CALL) { onControlThread { jobs.submitLocally(it) }.right() },
        handlerOf(STATE_CALL) { onControlThread { stateInMemory(it.jobId) ?: localJobs.stateOf(it.jobId) }.right() },
        handlerOf(PHASE_CALL) { PhaseReply(onControlThread { runner?.phaseOf(it.jobId) }).right() },
        handlerOf(HANDOVER_CALL) {
            val isTaken = onControlThread {
                health.isAvailable && election.takeOverFrom(it.term, "handed over", isOnlyCandidate = true)
            }
            HandoverReply(isTaken).right()
        },
        handlerOf(ANNOUNCE_CALL) { AnnounceReply(onControlThread { runner?.acceptAnnounced(it) } != null).right() },
        handlerOf(WATCH_CALL) { request ->
            delay(request.holdMs.coerceIn(0, WATCH_HOLD_MS))
            onControlThread { WatchReply(election.currentTerm != null, gate.grantedBytes) }.right()
        },
        handlerOf(RESERVE_CALL) { ReserveReply(onControlThread { gate.reserveHere(it) }).right() },
        handlerOf(CANCEL_CALL) { CancelReply(onControlThread { localJobs.cancel(it.jobId) }).right() },
        handlerOf(COUNT_CALL) { CountReply(onControlThread { localJobs.waitingJobCount(it.queue) }).right() },
        handlerOf(CONFIG_CALL) { config.replyFor(it.knownVersion).right() },
    ) + voting.handlers(control, scope)

    /** False also while keys cannot be checked, so that callers reach processes that can. */
    private fun isReady(): Boolean {
        val current = config.current ?: return false
        return !isStopping && (current.accounts == null || configProof.isRecent)
    }

    private suspend fun submit(job: AcceptedJob): SubmitAnswer {
        val answer = gate.submit(job)
        if (answer is SubmitAnswer.Accepted && health.typicalWriteMs > ANNOUNCE_MIN_LATENCY_MS) {
            scope.launch(control) { runner?.acceptAnnounced(job) ?: leaderClient.announce(job) }
        }
        return answer
    }

    private fun stateInMemory(jobId: String): StateAnswer? = runner?.phaseOf(jobId)?.let { StateAnswer.Found(it) }

    /** Asks the leader first: it answers from memory, which is faster and cheaper than the store. */
    private suspend fun stateOf(jobId: String): StateAnswer = stateInMemory(jobId)
        ?: leaderClient.phaseOf(jobId)?.let { StateAnswer.Found(it) }
        ?: jobs.stateOf(jobId)

    private suspend fun <T> onControlThread(work: suspend () -> T): T = withContext(control) { work() }
}
