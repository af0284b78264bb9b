/** Random faults: crashes, pauses, clock steps, blocked links, table outages, and operators' marks. */
package dev.bronzeshore.ownership

/** Injects random faults until [SimulationSettings.faultsUntilMs]. */
internal class FaultInjector(private val simulation: OwnershipSimulation) {
    private val random = simulation.random
    private val settings = simulation.settings

    /** Process to inject a fault into: in half of all cases the owner or its deputy, where the safety rules matter. */
    private fun target(): SimulatedProcess {
        val all = simulation.processes.values.filter { it.alive }
        val owner = simulation.owner()
        val deputy = all.find { it.member.processId == owner?.stateMachine?.row?.deputyId }
        return listOfNotNull(owner, deputy).randomOrNull(random)?.takeIf { random.nextBoolean() } ?: all.random(random)
    }

    fun schedule() {
        simulation.after(random.nextLong(settings.faultEveryMs * 2)) {
            if (simulation.realMs < settings.faultsUntilMs) {
                injectRandomFault()
                schedule()
            }
        }
    }

    private fun injectRandomFault() {
        when (random.nextInt(14)) {
            0 -> stopTable(random.nextLong(500, 25_000))
            1, 2, 9 -> cutFromTable(target())
            3 -> target().pausedUntilMs = simulation.realMs + random.nextLong(300, 12_000)
            4 -> crash(target())
            5 -> stop(target())
            6 -> simulation.processes.values.forEach { it.clockOffsetMs = simulation.clockOffset() }
            7, 10 -> cutLink()
            8, 11 -> delayMessages()
            else -> markCrashedAsGone()
        }
    }

    private fun stopTable(periodMs: Long) {
        simulation.table.mode = TableMode.DOWN
        simulation.after(periodMs) { simulation.table.mode = TableMode.UP }
    }

    /** As in an isolated region: no table for a long time, often no peers for part of it, and a loaded network. */
    private fun cutFromTable(process: SimulatedProcess) {
        if (random.nextBoolean()) {
            val address = process.member.address
            val links = settings.initialMembers.filter { it.address != address }.map { setOf(it.address, address) }
            simulation.blockedLinks += links
            simulation.after(random.nextLong(2_000, 7_000)) { simulation.blockedLinks -= links.toSet() }
            delayMessages()
        }
        simulation.cutFromTable += process.member.address
        simulation.after(random.nextLong(1_000, 25_000)) { simulation.cutFromTable -= process.member.address }
    }

    private fun crash(process: SimulatedProcess) {
        process.alive = false
        simulation.after(random.nextLong(200, 10_000)) {
            val template = settings.initialMembers.first { it.address == process.member.address }
            simulation.start(template)
        }
    }

    private fun stop(process: SimulatedProcess) {
        simulation.handOver(process)
        simulation.after(random.nextLong(100, 3_000)) { if (process.alive) crash(process) }
    }

    private fun cutLink() {
        val link = setOf(target().member.address, settings.initialMembers.random(random).address)
        simulation.blockedLinks += link
        simulation.after(random.nextLong(1_000, 15_000)) { simulation.blockedLinks -= link }
    }

    private fun delayMessages() {
        simulation.latePercent = FAULTY_MESSAGE_PERCENT
        simulation.lostResponsePercent = FAULTY_MESSAGE_PERCENT
        simulation.refusedWritePercent = FAULTY_MESSAGE_PERCENT
        simulation.after(random.nextLong(1_000, 10_000)) {
            simulation.latePercent = 1
            simulation.lostResponsePercent = 3
            simulation.refusedWritePercent = 0
        }
    }

    /** Marks only processes that no longer run, as operators must. */
    private fun markCrashedAsGone() {
        val row = simulation.processes.values.firstNotNullOfOrNull { it.stateMachine.row } ?: return
        val live = simulation.processes.values.filter { it.alive }.map { it.member.processId }
        simulation.gone += listOfNotNull(row.ownerId, row.deputyId) - live.toSet()
    }

    private companion object {
        const val FAULTY_MESSAGE_PERCENT = 30
    }
}
