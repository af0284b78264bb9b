/** One process of the ownership simulation, and the checker of invariants over all processes. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS

internal const val DATA_CENTRE = "a"

/** Two clocks at opposite ends of the range differ by the largest skew that the rules allow. */
internal const val MAX_CLOCK_OFFSET_MS = MAX_CLOCK_SKEW_MS / 2

internal class SimulatedProcess(val member: Member, var clockOffsetMs: Long) {
    lateinit var stateMachine: OwnershipStateMachine
    var alive = true
    var pausedUntilMs = 0L
    var gained: OwnershipGained? = null

    /** Number of the current sequence of table calls; responses to earlier ones are dropped, as after a timeout. */
    var tableStep = 0L
    var tableBusy = false

    /** Latest deadline that an effect of this process can have. */
    var latestEffectUntilMs = 0L

    fun clock(realMs: Long): Long = realMs + clockOffsetMs

    fun mayAct(realMs: Long): Boolean = alive && stateMachine.mayAct(clock(realMs))
}

/** Checks in real time that at most one process may act, and that effects of earlier owners end when announced. */
internal class InvariantChecker {
    private val latestEffects = HashMap<String, Long>()
    var firstViolation: String? = null
        private set
    var checks = 0L
        private set
    var ownedMs = 0L
        private set
    var longestUnownedMs = 0L
        private set
    private var unownedSinceMs = 0L
    private var lastMs = 0L
    private var wasOwned = false

    fun check(realMs: Long, processes: Collection<SimulatedProcess>) {
        checks += 1
        val acting = processes.filter { it.mayAct(realMs) }
        if (acting.size > 1) {
            val descriptions = acting.map {
                "${it.member.processId} until ${it.stateMachine.actUntilMs()} row ${it.stateMachine.row}"
            }
            report("at $realMs several processes may act: $descriptions")
        }
        acting.forEach { checkEffects(it, realMs) }
        for (process in acting) {
            process.latestEffectUntilMs = maxOf(process.latestEffectUntilMs, process.stateMachine.actUntilMs())
            latestEffects[process.member.processId] = process.latestEffectUntilMs
        }
        recordOwnedTime(realMs, acting.isNotEmpty())
    }

    /** Once the owner acts, a worker with the slowest clock must already refuse all starts of earlier owners. */
    private fun checkEffects(owner: SimulatedProcess, realMs: Long) {
        val effectsUntilMs = owner.gained?.previousEffectsUntilMs ?: return
        if (owner.clock(realMs) < effectsUntilMs) return
        val remaining =
            latestEffects.filter { it.key != owner.member.processId && it.value > realMs - MAX_CLOCK_OFFSET_MS }
        if (remaining.isNotEmpty()) report("at $realMs ${owner.member.processId} acts while effects last: $remaining")
    }

    /** Resets the owned and unowned times. */
    fun startMeasuring(realMs: Long) {
        ownedMs = 0
        longestUnownedMs = 0
        unownedSinceMs = realMs
    }

    private fun recordOwnedTime(realMs: Long, owned: Boolean) {
        if (wasOwned) ownedMs += realMs - lastMs
        if (owned) unownedSinceMs = realMs
        longestUnownedMs = maxOf(longestUnownedMs, realMs - unownedSinceMs)
        wasOwned = owned
        lastMs = realMs
    }

    private fun report(violation: String) {
        if (firstViolation == null) firstViolation = violation
    }
}
