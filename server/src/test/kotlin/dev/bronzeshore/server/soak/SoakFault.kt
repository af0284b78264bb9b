/** The faults of a soak, drawn from its seed. */
package dev.bronzeshore.server.soak

import kotlin.random.Random

private const val MAX_FAULTS_IN_SERIES = 4

/** A fault that lasts for [durationMs] and hits the worker with number [target], if it is one of a worker. */
internal class SoakFault(val atMs: Long, val kind: SoakFaultKind, val durationMs: Long, val target: Int) {
    fun lasting(otherMs: Long) = SoakFault(atMs, kind, otherMs, target)
}

/** Draws series of faults that overlap; each series repeats one kind, and consecutive series use few kinds. */
internal fun drawFaults(seed: Long, kinds: List<SoakFaultKind>, untilMs: Long): List<SoakFault> {
    val random = Random(seed)
    val chosen = kinds.shuffled(random).take(random.nextInt(3, 7))
    val faults = ArrayList<SoakFault>()
    var atMs = 500L
    while (atMs < untilMs) {
        val kind = chosen.random(random)
        repeat(random.nextInt(1, MAX_FAULTS_IN_SERIES)) {
            faults += SoakFault(atMs, kind, random.nextLong(300, 6_000), random.nextInt(1_000))
            atMs += random.nextLong(20, 900) + kind.pauseMs
        }
        atMs += random.nextLong(50, 3_000)
    }
    return faults
}
