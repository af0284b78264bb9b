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
 * The VMs and their effective states.
 *
 * Rules, in order of precedence:
 * 1. A mark `GONE` or `LEAVING` applies at once, whatever the list says.
 * 2. `LEAVING` in the list applies, even if the VM is marked `JOINING`: the platform may remove the VM at any time.
 * 3. A listed VM is live.
 * 4. A VM that is not listed is live if it is marked `JOINING`, a valid description of it is known (see
 *    [addDescription]), and it has not been listed since the mark was set. Once it is listed, the mark has no effect.
 * 5. Any other VM that is no longer listed is leaving, and is removed at its deadline.
 *
 * Not thread-safe: used on the control thread only.
 */
public class VmView(private val clock: ClockMs, private val unlistedRetentionMs: Long = UNLISTED_RETENTION_MS) {
    private val log = ComponentLog("membership")
    private val known = HashMap<String, KnownVm>()
    private var marks: Map<String, VmMark> = emptyMap()

    /** Updates the view from the platform's list, which was just read. */
    public fun setList(vms: List<Vm>) {
        if (vms.isEmpty() && known.isNotEmpty()) {
            // All VMs do not disappear between two reads, and an empty view would stop all placement.
            log.warn { "the VM list is empty and is ignored" }
            return
        }
        val listed = HashSet<String>()
        for (vm in vms) {
            if (listed.add(vm.id)) {
                updateListed(vm)
            } else {
                log.warn { "VM ${vm.id} is listed twice; the first entry counts" }
            }
        }
        known.values.filter { it.vm.id !in listed }.forEach(::markUnlisted)
    }

    /** Replaces the operators' marks by those in force now. */
    public fun setMarks(marked: List<MarkedVm>) {
        val newMarks = marked.associate { it.vmId to it.mark }
        for ((vmId, mark) in newMarks) {
            if (mark == VmMark.JOINING && marks[vmId] != VmMark.JOINING) {
                known[vmId]?.let { it.listedSinceJoining = it.listed }
            }
        }
        marks = newMarks
    }

    /**
     * Adds a description of a VM that may not be listed yet, in the list's format; it is used only while the VM is
     * marked `JOINING`. Returns an error message if it is not valid, otherwise null.
     */
    public fun addDescription(vm: Vm): String? {
        val error = VmValidator.validate(vm)
        if (error == null && known[vm.id]?.listed != true) {
            known[vm.id] = KnownVm(vm, listed = false, retainedUntilMs = clock.deadlineIn(unlistedRetentionMs))
        }
        return error
    }

    /** Retains a VM that is no longer listed until [untilMs] at least, because tasks there have leases until then. */
    public fun retainUntil(vmId: String, untilMs: Long) {
        val vm = known[vmId] ?: return
        if (!vm.listed) {
            vm.retainedUntilMs = maxOf(vm.retainedUntilMs, untilMs)
        }
    }

    /** All VMs, sorted by id. */
    public fun members(): List<MemberVm> {
        val nowMs = clock()
        known.values.removeIf { !it.listed && !isJoining(it) && isExpired(it, nowMs) }
        return known.values.map(::toMember).sortedBy { it.vm.id }
    }

    /** Ids of VMs that are marked `JOINING` but cannot be used, because no description of them is known. */
    public fun joiningWithoutDescription(): List<String> {
        val present = members().map { it.vm.id }.toSet()
        return marks.filter { it.value == VmMark.JOINING && it.key !in present }.keys.sorted()
    }

    private fun updateListed(vm: Vm) {
        val error = VmValidator.validate(vm)
        val entry = known[vm.id]
        when {
            error == null && entry == null -> known[vm.id] = KnownVm(vm, listed = true, retainedUntilMs = 0)
            error == null && entry != null -> entry.updateFromList(vm)
            entry == null -> log.warn { "VM ${vm.id} is not taken: $error" }
            else -> log.warn { "VM ${vm.id} keeps its last valid description: $error" }
        }
    }

    private fun markUnlisted(entry: KnownVm) {
        if (entry.listed) {
            entry.listed = false
            entry.retainedUntilMs = clock.deadlineIn(unlistedRetentionMs)
            log.info { "VM ${entry.vm.id} is no longer listed; kept as leaving" }
        }
    }

    private fun toMember(entry: KnownVm): MemberVm {
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
        val retainedUntilMs = entry.retainedUntilMs.takeUnless { entry.listed || isJoining(entry) }
        return MemberVm(entry.vm.copy(state = state), effectiveState, mark, retainedUntilMs)
    }

    private fun isJoining(entry: KnownVm): Boolean =
        !entry.listed && !entry.listedSinceJoining && marks[entry.vm.id] == VmMark.JOINING

    private fun isExpired(entry: KnownVm, nowMs: Long): Boolean =
        nowMs >= entry.retainedUntilMs || marks[entry.vm.id] == VmMark.GONE

    private class KnownVm(var vm: Vm, var listed: Boolean, var retainedUntilMs: Long) {
        var listedSinceJoining = listed

        fun updateFromList(described: Vm) {
            vm = described
            listed = true
            listedSinceJoining = true
        }
    }

    public companion object {
        /** By then all task leases granted before the VM left the list have expired, also by the worker's clock. */
        public const val UNLISTED_RETENTION_MS: Long = TASK_LEASE_MS + 2 * MAX_CLOCK_SKEW_MS
    }
}
