/** Records all runs on in-memory workers and checks invariants. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun

/** Resources and run time of a task in a simulation. */
public data class TaskModel(
    public val demand: Resources,
    public val durationMs: Long,
    /** Client account of the task's job, or null. */
    public val account: String? = null,
    /** Label without which a worker must not run the task, or null. */
    public val requiredLabel: String? = null,
)

public class RunInvariantChecker {
    private val runningOn = HashMap<TaskName, MutableSet<Pair<TaskRun, String>>>()
    private val done = HashSet<TaskName>()
    private val modelOf = HashMap<TaskRun, TaskModel>()

    /** Most that may run for each account; it may grow and shrink. */
    public val accountLimits: MutableMap<String, Resources> = HashMap()
    private val acknowledgedDone = HashSet<TaskName>()

    /** Runs that ended as [EndKind.DONE], by task, and those after whose end the task was started again. */
    private val doneRuns = HashMap<TaskName, MutableSet<TaskRun>>()
    private val repeatedRuns = HashMap<TaskRun, String>()

    private val crashesBy = HashMap<TaskName, Int>()
    private val startsAfterThirdCrash = HashMap<TaskName, Int>()

    /** For each task that crashed workers, how many. */
    public val crashes: Map<TaskName, Int> get() = crashesBy

    /** Descriptions of violated invariants, in the order in which they were found. */
    public val violations: MutableList<String> = ArrayList()

    /** Tasks with a run that ended as [EndKind.DONE]. */
    public val doneTasks: Set<TaskName> get() = done
    public var starts: Int = 0
        private set

    /** Number of runs on all workers now. */
    public val runningCount: Int get() = runningOn.values.sumOf { it.size }

    /** Workers on which the job has runs now. */
    public fun workersOf(jobId: String): Set<String> =
        runningOn.filterKeys { it.jobId == jobId }.values.flatten().mapTo(HashSet()) { (_, workerId) -> workerId }

    /** Tasks that have runs on the worker now. */
    public fun tasksOn(workerId: String): Set<TaskName> =
        runningOn.filterValues { runs -> runs.any { (_, id) -> id == workerId } }.keys

    /** True if the task has a run now. */
    public fun isRunning(task: TaskName): Boolean = runningOn[task]?.isNotEmpty() ?: false

    /** Number of the job's runs on all workers now. */
    public fun runningOf(jobId: String): Int = runningOn.filterKeys { it.jobId == jobId }.values.sumOf { it.size }

    internal fun recordStart(run: TaskRun, workerId: String, task: TaskModel, labels: Set<String> = emptySet()) {
        starts++
        modelOf[run] = task
        val others = runningOn.getOrPut(run.task) { HashSet() }
        if (others.isNotEmpty()) violations += "duplicate run: $run on $workerId while $others are running"
        if (run.task in acknowledgedDone) violations += "duplicate run: $run on $workerId after an acknowledged end"
        doneRuns[run.task].orEmpty().forEach { repeatedRuns.putIfAbsent(it, "$run on $workerId") }
        others += run to workerId
        val label = task.requiredLabel
        if (label != null && label !in labels) violations += "wrong kind: $run on $workerId, which lacks $label"
        checkAccount(task.account)
        if ((crashesBy[run.task] ?: 0) < MAX_CRASHES_BY_A_TASK) return
        val starts = startsAfterThirdCrash.merge(run.task, 1, Int::plus) ?: 0
        if (starts >= MAX_CRASHES_BY_A_TASK) violations += "crash budget: $run is start $starts after the third crash"
    }

    internal fun recordCrashBy(task: TaskName) {
        crashesBy.merge(task, 1, Int::plus)
    }

    internal fun recordEnd(run: TaskRun, workerId: String, kind: EndKind) {
        recordLoss(run, workerId)
        if (kind != EndKind.DONE) return
        done += run.task
        doneRuns.getOrPut(run.task) { HashSet() } += run
    }

    internal fun recordLoss(run: TaskRun, workerId: String) {
        runningOn[run.task]?.remove(run to workerId)
    }

    /** A start before the acknowledgement is wrong as well, unless the worker's leases expired after the end. */
    internal fun recordAcknowledgement(end: TaskEnd, hasLeaseExpired: Boolean) {
        if (end.kind != EndKind.DONE) return
        acknowledgedDone += end.run.task
        val repeated = repeatedRuns[end.run] ?: return
        if (!hasLeaseExpired) violations += "duplicate run: $repeated after ${end.run} had ended, acknowledged later"
    }

    private fun checkAccount(account: String?) {
        val limit = accountLimits[account] ?: return
        val used = runningOn.values.flatten().map { (run, _) -> modelOf.getValue(run) }
            .filter { it.account == account }
            .fold(Resources.NONE) { sum, model -> sum + model.demand }
        if (!used.fitsIn(limit)) violations += "account limit: the runs of $account use $used of $limit"
    }

    internal fun checkCapacity(workerId: String, demands: List<Resources>, capacity: Resources) {
        val used = demands.fold(Resources.NONE) { sum, demand -> sum + demand }
        if (!used.fitsIn(capacity)) violations += "over-commit: the runs on $workerId use $used of $capacity"
    }

    private companion object {
        /** A task that has crashed this many workers must not start as many times more. */
        const val MAX_CRASHES_BY_A_TASK = 3
    }
}
