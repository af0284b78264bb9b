/** Keeps its own record of all runs on in-memory workers and notes broken promises. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun

/** What a task needs and how long it takes, as the trial knows it. */
public data class TaskModel(public val demand: Resources, public val durationMs: Long)

public class RunInvariantChecker {
    private val runningOn = HashMap<TaskName, MutableSet<Pair<TaskRun, String>>>()
    private val done = HashSet<TaskName>()
    private val acknowledgedDone = HashSet<TaskName>()

    /** Descriptions of broken promises, in the order in which they were found. */
    public val violations: MutableList<String> = ArrayList()

    /** Tasks with a run that ended as done. */
    public val doneTasks: Set<TaskName> get() = done
    public var starts: Int = 0
        private set

    /** Runs that exist on workers now. */
    public val runningCount: Int get() = runningOn.values.sumOf { it.size }

    internal fun started(run: TaskRun, workerId: String) {
        starts++
        val others = runningOn.getOrPut(run.task) { HashSet() }
        if (others.isNotEmpty()) violations += "TWICE: $run on $workerId beside $others"
        if (run.task in acknowledgedDone) violations += "TWICE: $run on $workerId after an acknowledged end"
        others += run to workerId
    }

    internal fun ended(run: TaskRun, workerId: String, kind: EndKind) {
        vanished(run, workerId)
        if (kind == EndKind.DONE) done += run.task
    }

    internal fun vanished(run: TaskRun, workerId: String) {
        runningOn[run.task]?.remove(run to workerId)
    }

    internal fun acknowledged(end: TaskEnd) {
        if (end.kind == EndKind.DONE) acknowledgedDone += end.run.task
    }

    internal fun checkRoom(workerId: String, rooms: List<Resources>, capacity: Resources) {
        val used = rooms.fold(Resources.NONE) { sum, room -> sum + room }
        if (!used.fitsIn(capacity)) violations += "LIMIT: $workerId holds $used of $capacity"
    }
}
