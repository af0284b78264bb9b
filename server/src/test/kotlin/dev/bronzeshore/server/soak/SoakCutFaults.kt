/** Injects cuts between groups of machines, and long outages of the store for all. */
package dev.bronzeshore.server.soak

import kotlin.random.Random

/** The successor of a leader that is cut off starts tasks elsewhere after some 13 s; half of the cuts last longer. */
private const val CUT_FACTOR = 5
private const val MIN_OUTAGE_MS = 13_000L
private const val OUTAGE_FACTOR = 3

/** Outages are judged if no fault has begun for this time before. */
private const val CALM_MS = 30_000L

internal class SoakCutFaults(
    private val deployment: SoakDeployment,
    private val after: (delayMs: Long, work: () -> Unit) -> Unit,
    private val pick: (from: Long, until: Long) -> Long,
    private val processes: SoakProcessFaults,
) {
    private val log get() = deployment.log
    private val store get() = deployment.store.faults

    @Volatile
    private var disturbedAtMs = -CALM_MS

    /** A fault begins, so that the outage of the present, if any, is not judged any further. */
    fun recordFault() {
        disturbedAtMs = log.nowMs
        deployment.checker.isLapseAllowed = true
    }

    fun inject(fault: SoakFault) {
        val isCalm = log.nowMs - disturbedAtMs >= CALM_MS
        recordFault()
        val leader = deployment.leader() ?: return
        log.add("  the leader is ${leader.name} in ${leader.place.dataCentre}")
        val durationMs = fault.durationMs * CUT_FACTOR
        when (fault.kind) {
            SoakFaultKind.DATA_CENTRE_CUT -> cutDataCentre(leader.place.dataCentre, durationMs)
            SoakFaultKind.DATA_CENTRE_CUT_OTHER -> cutDataCentre(otherThan(leader.place.dataCentre, fault), durationMs)
            SoakFaultKind.GROUPS_CUT -> cutGroup(leader, fault, durationMs)
            SoakFaultKind.DATA_CENTRE_CUT_LEADER_KILL -> {
                cutDataCentre(leader.place.dataCentre, durationMs)
                after(pick(2_000, 12_000)) { killSuccessor(leader) }
            }
            SoakFaultKind.DATA_CENTRE_CUT_SUSPENSION -> {
                cutDataCentre(leader.place.dataCentre, durationMs)
                after(pick(0, 4_000)) { processes.suspend(leader, pick(1_000, 6_000)) }
            }
            else -> stopStore(leader, fault, isCalm)
        }
    }

    private fun cutDataCentre(name: String, durationMs: Long) =
        cut(places().filter { it.dataCentre == name }, durationMs)

    private fun otherThan(dataCentre: String, fault: SoakFault): String {
        val others = places().map { it.dataCentre }.distinct().filter { it != dataCentre }
        return others[fault.target % others.size]
    }

    /** The leader, and each other machine with a probability that differs from cut to cut. */
    private fun cutGroup(leader: SoakProcess, fault: SoakFault, durationMs: Long) {
        val random = Random(fault.target)
        val share = random.nextDouble(0.1, 0.7)
        val (leading, others) = places().partition { it == leader.place }
        cut(leading + others.filter { random.nextDouble() < share }, durationMs)
    }

    private fun cut(places: List<SoakPlace>, durationMs: Long) {
        val machines = places.map { it.machine }.toSet()
        log.add("  cut off for $durationMs ms: $machines")
        deployment.cuts.add(machines, log.nowMs + durationMs)
        after(durationMs) { log.add("the cut of $machines has ended") }
    }

    private fun places() = deployment.processes.map { it.place } + deployment.workers.map { it.place }

    private fun killSuccessor(former: SoakProcess) {
        deployment.leader()?.takeIf { it !== former }?.let { processes.killAndRestart(it, pick(0, 6_000)) }
    }

    /** All work has to go on; up to two of the processes that do not lead are killed meanwhile. */
    private fun stopStore(leader: SoakProcess, fault: SoakFault, isCalm: Boolean) {
        val durationMs = MIN_OUTAGE_MS + fault.durationMs * OUTAGE_FACTOR
        if (store.isDown) return log.add("  the store is down already")
        val callers = if (fault.target % 2 == 0) store.refused else store.silent
        callers += "*"
        deployment.checker.isLapseAllowed = !isCalm
        log.add("  the store is down for $durationMs ms, ${if (isCalm) "no run may lapse" else "not judged"}")
        val others = deployment.processes.filter { it !== leader }.shuffled(Random(fault.target))
        others.take(minOf(pick(0, 3).toInt(), (deployment.processes.size - 1) / 2)).forEach { killed ->
            after(pick(0, 8_000)) { processes.killAndRestart(killed, pick(0, 6_000)) }
        }
        after(durationMs) {
            deployment.checker.isLapseAllowed = true
            callers -= "*"
            log.add("the outage of the store has ended")
        }
    }

    /** Ends all faults. */
    fun end() {
        deployment.checker.isLapseAllowed = true
        deployment.cuts.clear()
    }
}
