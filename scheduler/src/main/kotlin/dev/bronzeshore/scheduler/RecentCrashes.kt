/** Crashes of workers in the last half minute, from which the leader concludes whether workers crash on their own. */
package dev.bronzeshore.scheduler

/** Time for which a crash that no task caused is evidence that the next one may have no such cause either. */
private const val EVIDENCE_MS = 30_000L

internal class RecentCrashes {
    private class Crash(val atMs: Long, val suspects: List<Placement>)

    private val crashes = ArrayDeque<Crash>()

    /** Records the crash of a worker; the runs of [suspects] may have caused it. */
    fun record(atMs: Long, suspects: List<Placement>) {
        crashes += Crash(atMs, suspects)
    }

    /** Number of crashes that no task has caused: all suspects, if there were any, have survived a start since. */
    fun countUnexplained(nowMs: Long): Int {
        crashes.removeIf { nowMs - it.atMs > EVIDENCE_MS }
        return crashes.count { crash -> crash.suspects.none { it.mayHaveCausedCrash } }
    }

    private val Placement.mayHaveCausedCrash: Boolean get() = !task.isDone && task.crashes.isSuspectedFor(run.run)
}
