/** Draws jobs of the kinds that booking sites have: gangs, steps in order, racks, schedules and advice. */
package dev.bronzeshore.server.soak

import kotlin.math.exp
import kotlin.random.Random

private const val RACKS = 3

/** Gangs that the workers cannot hold, of a thousand jobs. */
private const val HOPELESS_GANGS = 10

/** Ten a second use some 140 cores. */
internal class SoakSiteJobSource(private val random: Random) {
    fun next(): SoakJob {
        val id = "%016x".format(random.nextLong())
        val kind = random.nextInt(1_000)
        return when {
            kind < 60 -> SoakJob(id, SoakQueue.RENDER, payload(0.2, ::renderStep), isCancelled = false)
            kind < 60 + HOPELESS_GANGS -> SoakJob(id, SoakQueue.SHORT, hopelessGang(), isCancelled = false)
            kind < 160 -> SoakJob(id, SoakQueue.LAYOUT, payload(0.5, ::layoutStep), random.nextInt(20) == 0)
            // No worker with the label might be allowed by the advice as well, so that the job could not be done.
            kind < 240 -> SoakJob(id, SoakQueue.SHORT, SoakPayload(listOf(checkStep().copy(label = "b"))), false)
            else -> SoakJob(id, SoakQueue.CHECK, payload(0.0, ::checkStep), isCancelled = false)
        }
    }

    /** Each step has a further one after it with the probability [furtherShare]. */
    private fun payload(furtherShare: Double, drawStep: () -> SoakStep): SoakPayload {
        val steps = mutableListOf(drawStep())
        while (steps.size < 3 && random.nextDouble() < furtherShare) steps += drawStep().copy(after = steps.size - 1)
        val isScheduled = random.nextInt(12) == 0
        return SoakPayload(
            steps,
            occurrences = if (isScheduled) random.nextInt(1, 4) else 0,
            startWallMs = if (isScheduled) System.currentTimeMillis() + random.nextLong(500, 4_000) else 0,
            periodMs = if (isScheduled) random.nextLong(600, 4_000) else 0,
            isAdvised = true,
        )
    }

    private fun renderStep() = SoakStep(
        width(mean = 6, most = 14),
        millicores = random.nextInt(2_500, 6_500),
        workMs = random.nextLong(4_000, 10_000),
        isGang = random.nextInt(2) == 0,
        isCheckpointable = random.nextInt(2) == 0,
        dataRack = rack(0.3),
    )

    private fun layoutStep() = SoakStep(
        width(mean = 10, most = 30),
        millicores = random.nextInt(500, 1_800),
        workMs = random.nextLong(2_000, 5_000),
        isCheckpointable = random.nextInt(5) > 0,
        maxPerWorker = if (random.nextInt(8) == 0) 2 else 0,
        dataRack = rack(0.3),
    )

    private fun checkStep() = SoakStep(
        width(mean = 2, most = 8),
        millicores = random.nextInt(700, 2_400),
        workMs = random.nextLong(400, 1_300),
        failsAfterMs = if (random.nextInt(40) == 0) random.nextLong(50, 400) else 0,
    ).let { if (it.failsAfterMs == 0L && random.nextInt(10) < 3) it.copy(isGang = true) else it }

    private fun rack(share: Double) = if (random.nextDouble() < share) "r1-${1 + random.nextInt(RACKS)}" else ""

    private fun width(mean: Int, most: Int) = (mean * exp(random.nextDouble(-1.0, 0.9))).toInt().coerceIn(1, most)
}
