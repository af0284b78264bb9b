/** Merges the platform's lagging VM list with the operators' marks. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.TASK_LEASE_MS
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.VmState
import dev.bronzeshore.core.deadlineIn

/**
 * The VMs and whether they are given work.
 *
 * Rules, in this order:
 * 1. A mark `GONE` or `LEAVING` holds at once, whatever the list says.
 * 2. `LEAVING` in the list holds, also against a mark `JOINING`: the platform may take the VM away at any time.
 * 3. A VM that the list shows is live.
 * 4. A VM that the list does not show is live if it is marked `JOINING`, its description is known in the list's format
 *    (see [describe]), and the list has not shown it since the mark was set. From then on the mark has done its work.
 * 5. Any other VM that the list no longer shows is leaving, and is dropped at its deadline.
 *
 * Not thread-safe: it belongs to the control thread.
 */
public class VmView(private val clock: ClockMs, private val keepVanishedMs: Long = KEEP_VANISHED_MS) {
    private val log = ComponentLog("membership")
    private val known = HashMap<String, KnownVm>()
    private var marks: Map<String, VmMark> = emptyMap()

    /** Takes the platform's list as read just now. */
    public fun setList(vms: List<Vm>) {
        if (vms.isEmpty() && known.isNotEmpty()) {
            // No fleet loses every VM between two reads, and believing it would stop all placement.
            log.warn { "the VM list is empty and is ignored" }
            return
        }
        val listed = HashSet<String>()
        for (vm in vms) {
            if (listed.add(vm.id)) {
                takeListed(vm)
            } else {
                log.warn { "VM ${vm.id} is listed twice; the first entry counts" }
            }
        }
        known.values.filter { it.vm.id !in listed }.forEach(::vanish)
    }

    /** Takes the operators' marks as they are in force now. */
    public fun setMarks(marked: List<MarkedVm>) {
        val now = marked.associate { it.vmId to it.mark }
        for ((vmId, mark) in now) {
            if (mark == VmMark.JOINING && marks[vmId] != VmMark.JOINING) {
                known[vmId]?.let { it.shownSinceJoining = it.listed }
            }
        }
        marks = now
    }

    /**
     * Takes a description, in the list's format, of a VM that the list may not show yet; it is used only while the VM
     * is marked `JOINING`. Says what is wrong with it, or null.
     */
    public fun describe(vm: Vm): String? {
        val fault = VmFormat.faultOf(vm)
        if (fault == null && known[vm.id]?.listed != true) {
            known[vm.id] = KnownVm(vm, listed = false, keptUntilMs = clock.deadlineIn(keepVanishedMs))
        }
        return fault
    }

    /** Keeps a VM that the list no longer shows until [untilMs], because tasks there have leases until then. */
    public fun keepUntil(vmId: String, untilMs: Long) {
        val vm = known[vmId] ?: return
        if (!vm.listed) {
            vm.keptUntilMs = maxOf(vm.keptUntilMs, untilMs)
        }
    }

    /** All VMs in the order of their ids. */
    public fun members(): List<MemberVm> {
        val nowMs = clock()
        known.values.removeIf { !it.listed && !isJoining(it) && isOver(it, nowMs) }
        return known.values.map(::member).sortedBy { it.vm.id }
    }

    /** VMs that are marked `JOINING` but cannot be taken, because no description of them is known. */
    public fun awaited(): List<String> {
        val present = members().map { it.vm.id }.toSet()
        return marks.filter { it.value == VmMark.JOINING && it.key !in present }.keys.sorted()
    }

    private fun takeListed(vm: Vm) {
        val fault = VmFormat.faultOf(vm)
        val entry = known[vm.id]
        when {
            fault == null && entry == null -> known[vm.id] = KnownVm(vm, listed = true, keptUntilMs = 0)
            fault == null && entry != null -> entry.show(vm)
            entry == null -> log.warn { "VM ${vm.id} is not taken: $fault" }
            else -> log.warn { "VM ${vm.id} keeps its last valid description: $fault" }
        }
    }

    private fun vanish(entry: KnownVm) {
        if (entry.listed) {
            entry.listed = false
            entry.keptUntilMs = clock.deadlineIn(keepVanishedMs)
            log.info { "VM ${entry.vm.id} is no longer listed; kept as leaving" }
        }
    }

    private fun member(entry: KnownVm): MemberVm {
        val mark = marks[entry.vm.id]
        val effectiveState =
            when {
                mark == VmMark.GONE -> EffectiveVmState.GONE
                mark == VmMark.LEAVING -> EffectiveVmState.LEAVING
                entry.listed && entry.vm.state == VmState.LEAVING -> EffectiveVmState.LEAVING
                entry.listed || isJoining(entry) -> EffectiveVmState.LIVE
                else -> EffectiveVmState.LEAVING
            }
        val state = if (effectiveState == EffectiveVmState.LIVE) VmState.LIVE else VmState.LEAVING
        val keptUntilMs = entry.keptUntilMs.takeUnless { entry.listed || isJoining(entry) }
        return MemberVm(entry.vm.copy(state = state), effectiveState, mark, keptUntilMs)
    }

    private fun isJoining(entry: KnownVm): Boolean =
        !entry.listed && !entry.shownSinceJoining && marks[entry.vm.id] == VmMark.JOINING

    private fun isOver(entry: KnownVm, nowMs: Long): Boolean =
        nowMs >= entry.keptUntilMs || marks[entry.vm.id] == VmMark.GONE

    private class KnownVm(var vm: Vm, var listed: Boolean, var keptUntilMs: Long) {
        var shownSinceJoining = listed

        fun show(described: Vm) {
            vm = described
            listed = true
            shownSinceJoining = true
        }
    }

    public companion object {
        /** By then every task lease that was granted before the VM vanished has ended by the worker's clock. */
        public const val KEEP_VANISHED_MS: Long = TASK_LEASE_MS + 2 * MAX_CLOCK_SKEW_MS
    }
}
