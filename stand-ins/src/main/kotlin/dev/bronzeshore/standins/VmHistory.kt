/** History of the VM list, from which a stale list can be returned. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Vm

private class Snapshot(val sinceMs: Long, val vms: Map<String, Vm>)

/** Keeps each version of the list. Thread-safe. */
internal class VmHistory(private val clock: ClockMs) {
    private val snapshots = mutableListOf(Snapshot(Long.MIN_VALUE, emptyMap()))

    @Synchronized
    fun put(vms: List<Vm>) = change { it + vms.associateBy(Vm::id) }

    @Synchronized
    fun remove(id: String) = change { it - id }

    /** Returns the list as it was [lagMs] ago. */
    @Synchronized
    fun view(lagMs: Long): List<Vm> {
        val atMs = clock() - lagMs
        return snapshots.last { it.sinceMs <= atMs }.vms.values.toList()
    }

    private fun change(edit: (Map<String, Vm>) -> Map<String, Vm>) {
        snapshots += Snapshot(clock(), edit(snapshots.last().vms))
    }
}
