/** One process of the ownership simulation, and the judge that watches all of them. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS

internal const val DATA_CENTRE = "a"

/** Two clocks at opposite ends differ by the largest difference that the rules allow for. */
internal const val LARGEST_OFFSET_MS = MAX_CLOCK_SKEW_MS / 2

internal class SimProcess(val member: Member, var offsetMs: Long) {
    lateinit var machine: OwnershipMachine
    var alive = true
    var pausedUntilMs = 0L
    var gained: OwnershipGained? = null

    /** Number of the table step in progress; answers to earlier ones are dropped, as after a time-out. */
    var tableStep = 0L
    var tableBusy = false

    /** Latest deadline that an effect of this process may carry. */
    var handedUntilMs = 0L

    fun clock(realMs: Long): Long = realMs + offsetMs

    fun mayAct(realMs: Long): Boolean = alive && machine.mayAct(clock(realMs))
}

/** Checks by real time that at most one process may act, and that effects of earlier owners are over when said so. */
internal class Judge {
    private val handedBefore = HashMap<String, Long>()
    var firstFault: String? = null
        private set
    var checks = 0L
        private set
    var ownedMs = 0L
        private set
    var longestUnownedMs = 0L
        private set
    private var unownedSinceMs = 0L
    private var lastMs = 0L
    private var ownedAtLast = false

    fun check(realMs: Long, processes: Collection<SimProcess>) {
        checks += 1
        val acting = processes.filter { it.mayAct(realMs) }
        if (acting.size > 1) {
            val described = acting.map {
                "${it.member.processId} until ${it.machine.actUntilMs()} row ${it.machine.row}"
            }
            report("at $realMs several processes may act: $described")
        }
        acting.forEach { checkEffects(it, realMs) }
        for (process in acting) {
            process.handedUntilMs = maxOf(process.handedUntilMs, process.machine.actUntilMs())
            handedBefore[process.member.processId] = process.handedUntilMs
        }
        account(realMs, acting.isNotEmpty())
    }

    /** A worker with the slowest clock must already refuse all starts of other owners. */
    private fun checkEffects(owner: SimProcess, realMs: Long) {
        val overMs = owner.gained?.previousEffectsUntilMs ?: return
        if (owner.clock(realMs) < overMs) return
        val late = handedBefore.filter { it.key != owner.member.processId && it.value > realMs - LARGEST_OFFSET_MS }
        if (late.isNotEmpty()) report("at $realMs ${owner.member.processId} acts while effects last: $late")
    }

    /** Forgets the times without an owner so far. */
    fun startMeasuring(realMs: Long) {
        ownedMs = 0
        longestUnownedMs = 0
        unownedSinceMs = realMs
    }

    private fun account(realMs: Long, owned: Boolean) {
        if (ownedAtLast) ownedMs += realMs - lastMs
        if (owned) unownedSinceMs = realMs
        longestUnownedMs = maxOf(longestUnownedMs, realMs - unownedSinceMs)
        ownedAtLast = owned
        lastMs = realMs
    }

    private fun report(fault: String) {
        if (firstFault == null) firstFault = fault
    }
}
