/** One process on the platform: it answers callers, and one of the processes leads. */
package dev.bronzeshore.server.cluster

import arrow.core.right
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.SteadyClock
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterSettings
import dev.bronzeshore.core.cluster.JobDesk
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.intake.createStoreDesk
import dev.bronzeshore.leadership.LeaderElection
import dev.bronzeshore.leadership.LeaderEvents
import dev.bronzeshore.leadership.LeaderTerm
import dev.bronzeshore.leadership.candidateDelayMs
import dev.bronzeshore.leadership.leaderCapacity
import dev.bronzeshore.peering.PeerClient
import dev.bronzeshore.peering.PeerServer
import dev.bronzeshore.peering.handlerOf
import dev.bronzeshore.platform.cluster.CallersPortAddresses
import dev.bronzeshore.platform.cluster.CallersPortContext
import dev.bronzeshore.platform.cluster.PlatformLink
import dev.bronzeshore.platform.cluster.startCallersPort
import dev.bronzeshore.scheduler.AdviceCaller
import dev.bronzeshore.scheduler.LeaderDependencies
import dev.bronzeshore.scheduler.LeaderTermRunner
import dev.bronzeshore.scheduler.TermRenewal
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger

/** Time in which the balancer learns that a process is not ready: two probes, one a second, and some slack. */
private const val BALANCER_NOTICE_MS = 2_700L

/** Time kept back from the grace of a stop signal for ending the process itself. */
private const val EXIT_RESERVE_MS = 900L
private const val STOP_POLL_MS = 50L

/** A call for advice takes up to 1.5 s and may wait behind another one. */
private const val ADVICE_TIMEOUT_MS = 3_200L

/** A process answers from memory; one that does not answer soon must not keep the next one from being asked. */
private const val CONFIG_TIMEOUT_MS = 250L

/** Above this time of a write the store is slow, and so are its change feeds. */
private const val ANNOUNCE_ABOVE_MS = 60L

/** A leader that the store has answered this recently is served; its calls fail for want of its own time. */
private const val RECENT_SUCCESS_MS = 400L

/** Two renewals; the others take over after 1.4 s without one. */
private const val RENEWAL_OVERDUE_MS = 1_100L

internal class ClusterProcess(
    private val settings: ClusterSettings,
    private val control: CoroutineDispatcher,
    traffic: CoroutineDispatcher,
    private val scope: CoroutineScope,
) {
    private val log = EventLog("process")
    private val timeOfDay: ClockMs = System::currentTimeMillis
    private val bootId = UUID.randomUUID().toString()
    private val selector = SelectorManager(traffic)
    private val platform = PlatformLink(selector, traffic, settings.storeAddress, settings.adviceAddress)
    private val health = StoreHealth(SteadyClock)
    private val store = health.watching(platform.store)
    private val peerCaller = newPeerCaller()
    private val ownRow = NodeRow(
        settings.processName,
        bootId,
        "${settings.peers.host}:${settings.peers.port}",
        leaderCapacity(settings.processorShare, settings.linkMbps),
    )
    private val directory: NodeDirectory = NodeDirectory(store, ownRow) { election.currentTerm != null }
    private val config = ConfigWatcher(store, SteadyClock, { directory.peers }) { peer, version ->
        peerCaller.call(peer, CONFIG_CALL, ConfigRequest(version), CONFIG_TIMEOUT_MS)?.content
    }
    private val metrics = ClusterMetrics({ config.current?.version ?: 0 }, { election.currentTerm?.term ?: 0 })
    private val localDesk: JobDesk = createStoreDesk(store, SteadyClock, { health.isServed }, scope)
    private val desk = JobRequestForwarder(localDesk, health, { directory.peers }, peerCaller)
    private val election: LeaderElection = LeaderElection(
        store,
        ownRow,
        SteadyClock,
        { candidateDelayMs(ownRow, directory.peers) },
        LeaderEvents(
            gained = ::startTerm,
            lost = { endTerm() },
            storeLost = { term -> scope.launch(control) { passOnUnlessServed(term) } },
        ),
    )
    private val leaderLink: LeaderClient by lazy {
        LeaderClient(ownRow, election, { directory.peers }, peerCaller, newPeerCaller())
    }
    private var runner: LeaderTermRunner? = null
    private val inFlight = AtomicInteger()
    private var term: Job? = null

    @Volatile
    private var isStopping = false

    /** Starts all parts; returns once the ports listen. */
    suspend fun start() = withContext(control) {
        log.event("start", "process" to settings.processName, "data_centre" to settings.dataCentre, "boot" to bootId)
        startCallersPort(
            CallersPortAddresses(settings.callers, settings.readiness, settings.metrics),
            CallersPortContext(
                desk = countedDesk(),
                config = { config.current },
                isReady = { config.current != null && !isStopping },
                isStopping = { isStopping },
                clock = timeOfDay,
                metrics = metrics::scrape,
                countAnswer = metrics::countAnswer,
            ),
        )
        PeerServer(selector, timeOfDay, handlers()).start(settings.peers.host, settings.peers.port, scope)
        scope.launch { directory.run() }
        scope.launch { config.run() }
        scope.launch { election.run() }
        scope.launch { leaderLink.watch() }
    }

    /** Stops taking work, passes leadership on, and returns when the balancer and the callers have moved on. */
    suspend fun stop() {
        val startedAtMs = SteadyClock()
        isStopping = true
        log.event("stop", "process" to settings.processName, "leads" to (election.currentTerm != null))
        scope.launch(control) { passOnLeadership() }
        delay(BALANCER_NOTICE_MS)
        while (inFlight.get() > 0 &&
            SteadyClock() - startedAtMs < settings.bounds.stopSignalGraceMs - EXIT_RESERVE_MS
        ) {
            delay(STOP_POLL_MS)
        }
        log.event("stopped", "in_flight" to inFlight.get(), "duration_ms" to SteadyClock() - startedAtMs)
    }

    /** Leads on until another process has taken over; only without one is the term released unasked. */
    private suspend fun passOnLeadership() {
        election.withdraw()
        election.currentTerm?.let { passOn(it) }
        election.release()
    }

    private suspend fun passOn(term: LeaderTerm) {
        if (leaderLink.handOver(term.term)) election.stepDown(term)
    }

    /** A busy leader's renewal may be late although the store serves it; only a second one in a row is a reason. */
    private suspend fun passOnUnlessServed(term: LeaderTerm) {
        val now = SteadyClock()
        val isServed = now - health.succeededAtMs < RECENT_SUCCESS_MS && now - election.renewedAtMs < RENEWAL_OVERDUE_MS
        if (!isServed) passOn(term)
    }

    private fun newPeerCaller() = TimedPeerClient(PeerClient(selector, timeOfDay, scope), timeOfDay)

    private suspend fun startTerm(won: LeaderTerm) {
        endTerm()
        val started = LeaderTermRunner(dependencies(won), won.term, won.termRowVersion)
        runner = started
        term = scope.launch(control) { started.run() }
    }

    private suspend fun endTerm() {
        runner = null
        term?.cancelAndJoin()
        term = null
    }

    private fun dependencies(won: LeaderTerm) = LeaderDependencies(
        store = store,
        calls = platform.workers,
        bounds = settings.bounds,
        clock = SteadyClock,
        timeOfDay = timeOfDay,
        metrics = metrics.forScheduler(),
        renewal = TermRenewal(election::dueBeat, election::renewed),
        adviceCallers = ::adviceCallers,
        workerTable = PlatformLink.WORKER_TABLE,
        decodeWorker = PlatformLink::workerIn,
        onDeposed = { scope.launch(control) { election.stepDown(won) } },
    )

    private fun adviceCallers(): List<AdviceCaller> {
        val advice = platform.advice ?: return emptyList()
        return listOf(AdviceCaller(settings.processName) { step, workers -> advice(step, workers) }) +
            directory.peers.map { peer ->
                AdviceCaller(peer.processName) { step, workers ->
                    val request = AdviceRequest(step.jobId, step.occurrence, step.step, workers)
                    peerCaller.call(peer, ADVICE_CALL, request, ADVICE_TIMEOUT_MS)?.toTickets()
                }
            }
    }

    private fun handlers() = listOf(
        handlerOf(ADVICE_CALL) { AdviceReply.of(platform.advice?.invoke(it.stepName, it.workerIds)).right() },
        handlerOf(SUBMIT_CALL) { onControl { desk.submitHere(it) }.right() },
        handlerOf(STATE_CALL) { onControl { knownState(it.jobId) ?: localDesk.stateOf(it.jobId) }.right() },
        handlerOf(PHASE_CALL) { PhaseReply(onControl { runner?.phaseOf(it.jobId) }).right() },
        handlerOf(HANDOVER_CALL) {
            val isTaken = onControl {
                health.isServed && election.takeOverFrom(it.term, "handed over", isOnlyCandidate = true)
            }
            HandoverReply(isTaken).right()
        },
        handlerOf(ANNOUNCE_CALL) { Announcement(onControl { runner?.takeAnnounced(it) } != null).right() },
        handlerOf(WATCH_CALL) { request ->
            delay(request.holdMs.coerceIn(0, WATCH_HOLD_MS))
            WatchReply(election.currentTerm != null).right()
        },
        handlerOf(CANCEL_CALL) { CancelReply(onControl { localDesk.cancel(it.jobId) }).right() },
        handlerOf(COUNT_CALL) { CountReply(onControl { localDesk.waitingIn(it.queue) }).right() },
        handlerOf(CONFIG_CALL) { ConfigReply(config.contentAfter(it.knownVersion)).right() },
    )

    private suspend fun submit(job: AcceptedJob): SubmitAnswer {
        val answer = desk.submit(job)
        if (answer is SubmitAnswer.Accepted && health.typicalWriteMs > ANNOUNCE_ABOVE_MS) {
            scope.launch(control) { runner?.takeAnnounced(job) ?: leaderLink.announce(job) }
        }
        return answer
    }

    private fun knownState(jobId: String): StateAnswer? = runner?.phaseOf(jobId)?.let { StateAnswer.Found(it) }

    /** The leader answers from memory, which is faster and cheaper than the store. */
    private suspend fun stateOf(jobId: String): StateAnswer = knownState(jobId)
        ?: leaderLink.phaseOf(jobId)?.let { StateAnswer.Found(it) }
        ?: desk.stateOf(jobId)

    private suspend fun <T> onControl(work: suspend () -> T): T = withContext(control) { work() }

    private fun countedDesk() = JobDesk(
        submit = { counted { submit(it) } },
        stateOf = { counted { stateOf(it) } },
        cancel = { counted { desk.cancel(it) } },
        waitingIn = { counted { desk.waitingIn(it) } },
    )

    private suspend fun <T> counted(work: suspend () -> T): T {
        inFlight.incrementAndGet()
        return try {
            onControl(work)
        } finally {
            inFlight.decrementAndGet()
        }
    }
}
