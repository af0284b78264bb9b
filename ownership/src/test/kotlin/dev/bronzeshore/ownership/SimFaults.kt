/** The faults that a simulation draws: crashes, pauses, clock steps, cut links, table outages, operators' marks. */
package dev.bronzeshore.ownership

/** Draws one fault after the other until the simulation's time for faults is over. */
internal class SimFaults(private val simulation: OwnershipSimulation) {
    private val random = simulation.random
    private val settings = simulation.settings

    /** Process that faults mostly hit; half of them go to the owner or its deputy, where the rules matter. */
    private fun target(): SimProcess {
        val all = simulation.processes.values.filter { it.alive }
        val owner = simulation.owner()
        val deputy = all.find { it.member.processId == owner?.machine?.row?.deputyId }
        return listOfNotNull(owner, deputy).randomOrNull(random)?.takeIf { random.nextBoolean() } ?: all.random(random)
    }

    fun schedule() {
        simulation.after(random.nextLong(settings.faultEveryMs * 2)) {
            if (simulation.realMs < settings.faultsUntilMs) {
                draw()
                schedule()
            }
        }
    }

    private fun draw() {
        when (random.nextInt(14)) {
            0 -> setTable(random.nextLong(500, 25_000))
            1, 2, 9 -> cutFromTable(target())
            3 -> target().pausedUntilMs = simulation.realMs + random.nextLong(300, 12_000)
            4 -> crash(target())
            5 -> stop(target())
            6 -> simulation.processes.values.forEach { it.offsetMs = simulation.offset() }
            7, 10 -> cutLink()
            8, 11 -> makeMessagesLate()
            else -> markDeadProcesses()
        }
    }

    private fun setTable(periodMs: Long) {
        simulation.table.mode = TableMode.DOWN
        simulation.after(periodMs) { simulation.table.mode = TableMode.UP }
    }

    /** As in a region that is cut off: no table for long, often no peers for a part of it, and a loaded network. */
    private fun cutFromTable(process: SimProcess) {
        if (random.nextBoolean()) {
            val address = process.member.address
            val links = settings.slots.filter { it.address != address }.map { setOf(it.address, address) }
            simulation.blocked += links
            simulation.after(random.nextLong(2_000, 7_000)) { simulation.blocked -= links.toSet() }
            makeMessagesLate()
        }
        simulation.cutFromTable += process.member.address
        simulation.after(random.nextLong(1_000, 25_000)) { simulation.cutFromTable -= process.member.address }
    }

    private fun crash(process: SimProcess) {
        process.alive = false
        simulation.after(random.nextLong(200, 10_000)) {
            val slot = settings.slots.first { it.address == process.member.address }
            simulation.start(slot)
        }
    }

    private fun stop(process: SimProcess) {
        simulation.handOver(process)
        simulation.after(random.nextLong(100, 3_000)) { if (process.alive) crash(process) }
    }

    private fun cutLink() {
        val link = setOf(target().member.address, settings.slots.random(random).address)
        simulation.blocked += link
        simulation.after(random.nextLong(1_000, 15_000)) { simulation.blocked -= link }
    }

    private fun makeMessagesLate() {
        simulation.latePercent = LATE_PERCENT
        simulation.lostAnswerPercent = LATE_PERCENT
        simulation.refusedWritePercent = LATE_PERCENT
        simulation.after(random.nextLong(1_000, 10_000)) {
            simulation.latePercent = 1
            simulation.lostAnswerPercent = 3
            simulation.refusedWritePercent = 0
        }
    }

    /** A true statement: only processes that no longer run are marked. */
    private fun markDeadProcesses() {
        val row = simulation.processes.values.firstNotNullOfOrNull { it.machine.row } ?: return
        val live = simulation.processes.values.filter { it.alive }.map { it.member.processId }
        simulation.gone += listOfNotNull(row.ownerId, row.deputyId) - live.toSet()
    }

    private companion object {
        const val LATE_PERCENT = 30
    }
}
