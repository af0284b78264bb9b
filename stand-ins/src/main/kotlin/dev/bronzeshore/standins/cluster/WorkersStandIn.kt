/** In-memory workers that report changes of their list, on the virtual time of a test. Not thread-safe. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.HoldRequest
import dev.bronzeshore.core.cluster.StartAnswer
import dev.bronzeshore.core.cluster.StartRequest
import dev.bronzeshore.core.cluster.StartResult
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerCalls
import dev.bronzeshore.core.cluster.WorkerChange
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

private const val CALL_LATENCY_MS = 2L
private const val CALL_TIMEOUT_MS = 300L
private const val POLL_PERIOD_MS = 10L

/** Time after the end of its wait at which a poll without a response fails. */
private const val POLL_TIMEOUT_MARGIN_MS = 700L

/** Time after which a worker that a task has crashed is back, and after which the entry of its old id expires. */
private const val REPLACED_AFTER_MS = 3_000L
private const val ENTRY_EXPIRES_AFTER_MS = 4_300L

/** Minimum delay of a start request that is applied late. */
private const val MIN_REQUEST_DELAY_MS = 500L

public class WorkersStandIn(
    private val random: Random,
    private val scope: CoroutineScope,
    private val clock: () -> Long,
    private val service: String,
    private val capacity: Resources,
    private val taskOf: (TaskName) -> TaskModel,
) {
    public val faults: WorkerFaults = WorkerFaults()
    public val checker: RunInvariantChecker = RunInvariantChecker()
    private val workers = LinkedHashMap<String, WorkerModel>()

    private val connections = WorkerConnections()

    /** Number of polls that were sent to each worker. */
    public val polls: MutableMap<String, Int> = HashMap()

    /** Callback for changes of the list of workers, in the form in which the store reports them. */
    public var onChange: (WorkerChange) -> Unit = {}

    public val ids: Set<String> get() = workers.keys

    /** Starts a worker, or a new incarnation of one that has crashed. */
    public fun boot(workerId: String, address: String = "$workerId:1") {
        start(workerId, address)
        announce(workerId)
    }

    /** Writes the worker's entry into the directory. */
    public fun announce(workerId: String): Unit = onChange(WorkerChange(workerId, workers.getValue(workerId).entry))

    private fun start(workerId: String, address: String) {
        faults.refusing -= workerId
        val entry = WorkerEntry(
            WorkerIncarnation(workerId, clock() + 1),
            service,
            address,
            "dc",
            false,
            capacity,
            emptySet(),
            null,
        )
        workers[workerId] = WorkerModel(entry, clock, faults, checker)
    }

    /** Announces that a worker will leave; it keeps its runs. */
    public fun drain(workerId: String) {
        val entry = workers.getValue(workerId).entry.copy(isDraining = true)
        onChange(WorkerChange(workerId, entry))
    }

    /** Changes the entry of a running worker, which keeps its runs even if they need more than its new capacity. */
    public fun update(workerId: String, change: (WorkerEntry) -> WorkerEntry) {
        val model = workers.getValue(workerId)
        model.entry = change(model.entry)
        onChange(WorkerChange(workerId, model.entry))
    }

    /** Ends the incarnation of a worker; its runs are lost. Calls get no answer, or are refused if [isRefusing]. */
    public fun crash(workerId: String, isRefusing: Boolean = false) {
        workers.remove(workerId)?.crash()
        if (isRefusing) faults.refusing += workerId
    }

    /**
     * Ends the incarnation of a worker and starts the next one, unannounced, under the same id and address at once;
     * [change] makes it one of another kind.
     */
    public fun restart(workerId: String, change: (WorkerEntry) -> WorkerEntry = { it }) {
        val address = workers.getValue(workerId).entry.address
        crash(workerId)
        start(workerId, address)
        workers.getValue(workerId).let { it.entry = change(it.entry) }
    }

    /** Ends the incarnation of a worker; another one with a new id takes its address later. */
    public fun crashAndReplace(workerId: String) {
        val model = workers.remove(workerId) ?: return
        model.crash()
        if (!faults.isCrashSilent) faults.refusing += workerId
        scope.launch {
            delay(REPLACED_AFTER_MS)
            boot("$workerId+", model.entry.address)
            delay(ENTRY_EXPIRES_AFTER_MS - REPLACED_AFTER_MS)
            onChange(WorkerChange(workerId, null))
        }
    }

    /** Advances all workers periodically, so that runs also end without a call. */
    public suspend fun run() {
        while (true) {
            workers.values.toList().forEach { it.advance() }
            delay(POLL_PERIOD_MS)
        }
    }

    /**
     * Returns the calls of the leader [caller]; [pollDelayMs] is the extra latency of its requests for a worker's
     * report.
     */
    public fun calls(caller: String = "", pollDelayMs: (workerId: String) -> Long = { 0 }): WorkerCalls = WorkerCalls(
        start = { worker, request -> start(caller, worker, request) },
        stop = { worker, run, fencingToken -> stop(caller, worker, run, fencingToken) },
        hold = { worker, request ->
            val asked = workers[worker.incarnation.workerId]
            val required = request.connection?.let { connections.accepterOf(it) }
            val isClosed = required !== asked || worker.incarnation.workerId in faults.closingConnections
            if (required != null && isClosed) {
                HoldAnswer.Disconnected
            } else {
                polls.merge(worker.incarnation.workerId, 1, Int::plus)
                delay(pollDelayMs(worker.incarnation.workerId) + CALL_LATENCY_MS)
                val current = workers[worker.incarnation.workerId]
                val hasRestarted = asked != null && current != null && current !== asked
                val answer = if (hasRestarted) brokenPoll(request.waitMs) else hold(caller, worker, request)
                connections.named(answer, current).also { delay(faults.reportDelayMs()) }
            }
        },
    )

    private fun reachableWorker(caller: String, worker: WorkerEntry): WorkerModel? {
        val id = worker.incarnation.workerId
        check(id !in faults.failingCalls) { "the client of $id is faulty" }
        val isCut = id in faults.unreachable || id in faults.unreachableFrom[caller].orEmpty()
        return workers[id].takeUnless { isCut || id in faults.refusing }
    }

    private suspend fun start(caller: String, worker: WorkerEntry, request: StartRequest): StartAnswer {
        delay(CALL_LATENCY_MS)
        if (hasSuccessor(worker)) return StartAnswer(StartResult.OTHER_WORKER)
        val model = reachableWorker(caller, worker) ?: return startFailure(worker)
        val task = taskOf(request.run.task)
        if (random.nextDouble() >= faults.delayedRequestShare) return start(model, request, task)
        scope.launch {
            delay(random.nextLong(MIN_REQUEST_DELAY_MS, faults.maxRequestDelayMs))
            if (workers[worker.incarnation.workerId] === model) start(model, request, task)
        }
        return startTimeout()
    }

    private fun start(model: WorkerModel, request: StartRequest, task: TaskModel): StartAnswer {
        if (faults.crashesBeforeStart(request.run.task)) {
            crashAndReplace(model.entry.incarnation.workerId)
            return StartAnswer(StartResult.UNKNOWN)
        }
        val answer = model.start(request, task)
        if (answer.result == StartResult.STARTED && faults.crashesItsWorker(request.run.task)) {
            scope.launch {
                delay(faults.crashDelayMs)
                if (workers[model.entry.incarnation.workerId] !== model) return@launch
                checker.recordCrashBy(request.run.task)
                val id = model.entry.incarnation.workerId
                if (!faults.keepsIdAfterCrash) return@launch crashAndReplace(id)
                restart(id)
                announce(id)
            }
        }
        return answer
    }

    /** Requests name the worker by its id, which the next incarnation may have as well. */
    private fun hasSuccessor(worker: WorkerEntry): Boolean = workers.values.map { it.entry }
        .any { it.address == worker.address && it.incarnation.workerId != worker.incarnation.workerId }

    private suspend fun startFailure(worker: WorkerEntry): StartAnswer =
        if (worker.incarnation.workerId in faults.refusing) StartAnswer(StartResult.NOT_SENT) else startTimeout()

    private suspend fun startTimeout(): StartAnswer {
        delay(CALL_TIMEOUT_MS)
        return StartAnswer(StartResult.UNKNOWN)
    }

    private suspend fun stop(caller: String, worker: WorkerEntry, run: TaskRun, fencingToken: Long): Boolean {
        delay(CALL_LATENCY_MS)
        val model = reachableWorker(caller, worker)
        if (model == null) delay(CALL_TIMEOUT_MS)
        return model?.stop(run, fencingToken) ?: false
    }

    private suspend fun hold(caller: String, worker: WorkerEntry, request: HoldRequest): HoldAnswer {
        var waitedMs = 0L
        val initialAnswer = answerNow(caller, worker, request) ?: return holdFailure(worker)
        val asked = workers[worker.incarnation.workerId]
        while (initialAnswer is HoldAnswer.Report && waitedMs < request.waitMs) {
            val model = reachableWorker(caller, worker)
            val answer = when {
                model == null -> holdFailure(worker)
                model !== asked -> brokenPoll(request.waitMs - waitedMs)
                model.hasUnacknowledgedEnds -> model.hold(request)
                else -> null
            }
            if (answer != null) return answer
            delay(POLL_PERIOD_MS)
            waitedMs += POLL_PERIOD_MS
        }
        val hasRestarted = asked != null && workers[worker.incarnation.workerId].let { it != null && it !== asked }
        return if (hasRestarted) brokenPoll(0) else answerNow(caller, worker, request) ?: holdFailure(worker)
    }

    private suspend fun brokenPoll(remainingWaitMs: Long): HoldAnswer {
        if (faults.isRestartSilent) delay(remainingWaitMs + POLL_TIMEOUT_MARGIN_MS)
        return HoldAnswer.Unreachable("the worker has restarted")
    }

    private fun answerNow(caller: String, worker: WorkerEntry, request: HoldRequest): HoldAnswer? =
        if (hasSuccessor(worker)) HoldAnswer.OtherWorker else reachableWorker(caller, worker)?.hold(request)

    private suspend fun holdFailure(worker: WorkerEntry): HoldAnswer {
        if (worker.incarnation.workerId in
            faults.refusing
        ) {
            return HoldAnswer.Unreachable("connection refused", isRefused = true)
        }
        delay(CALL_TIMEOUT_MS)
        return HoldAnswer.Unreachable("no response")
    }
}
