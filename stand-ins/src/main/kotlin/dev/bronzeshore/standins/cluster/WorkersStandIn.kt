/** A fleet of in-memory workers that register in the store stand-in. On the virtual time of a test. */
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

private const val CALL_MS = 2L
private const val CALL_TIMEOUT_MS = 300L
private const val POLL_MS = 10L

/** Shortest delay of an order that is carried out late. */
private const val EARLIEST_LATE_MS = 500L

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

    /** The changes of the list of workers, as the store would show them. */
    public var onChange: (WorkerChange) -> Unit = {}

    public val ids: Set<String> get() = workers.keys

    /** Starts a worker, or a new life of one that has crashed. */
    public fun boot(workerId: String) {
        val entry = WorkerEntry(
            WorkerIncarnation(workerId, clock() + 1),
            service,
            "$workerId:1",
            "dc",
            false,
            capacity,
            emptySet(),
            null,
        )
        workers[workerId] = WorkerModel(entry, clock, faults, checker)
        onChange(WorkerChange(workerId, entry))
    }

    /** Ends the life of a worker; what runs there is gone. */
    public fun crash(workerId: String) {
        workers.remove(workerId)?.crash()
    }

    /** Advances all workers, so that runs end also while nobody asks. */
    public suspend fun run() {
        while (true) {
            workers.values.toList().forEach { it.advance() }
            delay(POLL_MS)
        }
    }

    /** The calls of one leader, whose looks at a worker take the time that [lookDelayMs] says. */
    public fun calls(lookDelayMs: (workerId: String) -> Long = { 0 }): WorkerCalls = WorkerCalls(
        start = ::start,
        stop = ::stop,
        hold = { worker, order ->
            delay(lookDelayMs(worker.incarnation.workerId))
            hold(worker, order)
        },
    )

    private fun reach(worker: WorkerEntry): WorkerModel? =
        workers[worker.incarnation.workerId].takeIf { worker.incarnation.workerId !in faults.unreachable }

    private suspend fun start(worker: WorkerEntry, order: StartRequest): StartAnswer {
        delay(CALL_MS)
        val model = reach(worker) ?: return unanswered()
        val task = taskOf(order.run.task)
        if (random.nextDouble() >= faults.delayedRequestShare) return model.start(order, task)
        scope.launch {
            delay(random.nextLong(EARLIEST_LATE_MS, faults.maxRequestDelayMs))
            if (workers[worker.incarnation.workerId] === model) model.start(order, task)
        }
        return unanswered()
    }

    private suspend fun unanswered(): StartAnswer {
        delay(CALL_TIMEOUT_MS)
        return StartAnswer(StartResult.UNKNOWN)
    }

    private suspend fun stop(worker: WorkerEntry, run: TaskRun, fence: Long): Boolean {
        delay(CALL_MS)
        val model = reach(worker)
        if (model == null) delay(CALL_TIMEOUT_MS)
        return model?.stop(run, fence) ?: false
    }

    private suspend fun hold(worker: WorkerEntry, order: HoldRequest): HoldAnswer {
        delay(CALL_MS)
        var waitedMs = 0L
        val first = reach(worker)?.hold(order) ?: return unreachable()
        while (first is HoldAnswer.Report && waitedMs < order.waitMs) {
            val model = reach(worker) ?: return unreachable()
            if (model.hasNews) return model.hold(order)
            delay(POLL_MS)
            waitedMs += POLL_MS
        }
        return reach(worker)?.hold(order) ?: unreachable()
    }

    private suspend fun unreachable(): HoldAnswer {
        delay(CALL_TIMEOUT_MS)
        return HoldAnswer.Unreachable("cut off")
    }
}
