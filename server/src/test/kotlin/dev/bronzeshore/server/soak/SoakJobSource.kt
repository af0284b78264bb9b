/** Draws jobs: short and wide ones, and jobs whose tasks fail by their own fault; 22 a second use some 200 cores. */
package dev.bronzeshore.server.soak

import kotlin.random.Random

private val FAILING_QUEUES = listOf(SoakQueue.SHORT, SoakQueue.WIDE, SoakQueue.FRAGILE)

/** Jobs with tasks that outlive a cut, of a thousand. */
private const val LONG_JOBS = 60

/** Gangs that the workers cannot hold, of a thousand jobs. */
private const val HOPELESS_GANGS = 5
private const val HOPELESS_MEMBERS = 100

/** A gang that the workers hold by their capacity, but not with one member on each. */
internal fun hopelessGang(): SoakPayload {
    val step = SoakStep(HOPELESS_MEMBERS, millicores = 2_000, workMs = 800, isGang = true, maxPerWorker = 1)
    return SoakPayload(listOf(step), isHopeless = true)
}

/** With [hasLongTasks], some tasks outlive a cut and the leases in it. */
internal class SoakJobSource(private val random: Random, private val hasLongTasks: Boolean) {
    fun next(): SoakJob {
        val id = "%016x".format(random.nextLong())
        val isCancelled = random.nextInt(40) == 0
        val kind = random.nextInt(1_000)
        val fail = random.nextLong(100, 700)
        return when {
            hasLongTasks && kind >= 1_000 - LONG_JOBS ->
                SoakJob(id, SoakQueue.SHORT, payload(2, 1_000, random.nextLong(14_000, 28_000)), isCancelled)
            kind < 15 -> SoakJob(id, FAILING_QUEUES.random(random), payload(2, 1_000, 800, fail), isCancelled)
            kind < 60 -> SoakJob(id, SoakQueue.WIDE, payload(10, 2_000, 3_400), isCancelled)
            kind < 90 -> SoakJob(id, SoakQueue.WIDE, payload(12, 2_000, 6_200), isCancelled)
            kind < 90 + HOPELESS_GANGS -> SoakJob(id, SoakQueue.WIDE, hopelessGang(), isCancelled)
            else -> SoakJob(id, SoakQueue.SHORT, payload(2, 1_000, 800), isCancelled)
        }
    }

    private fun payload(tasks: Int, millicores: Int, workMs: Long, fail: Long = 0): SoakPayload {
        val first = SoakStep(tasks, millicores, workMs, fail)
        val hasSecond = tasks > 2 && random.nextInt(4) == 0
        return SoakPayload(if (hasSecond) listOf(first, first.copy(replicas = 2, after = 0)) else listOf(first))
    }
}
