/** Log lines about the ownership of one data centre. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.ComponentLog

/** Writes a line when a state changes, not with every tick; used on the control thread only. */
internal class OwnershipLog(private val dataCentre: String, private val self: Member) {
    private val log = ComponentLog("ownership")
    private var deputyId: String? = null
    private var tableFault: String? = null
    private var refusal: String? = null
    private val leaseFaults = HashMap<String, String>()

    fun gained(term: Long) = log.info { "${self.processId} owns $dataCentre in term $term" }

    /** [limits] describes the leases that ended. */
    fun lost(term: Long, limits: String) =
        log.info { "${self.processId} no longer owns $dataCentre (term $term): $limits" }

    /** The deputy of this owner, as last read or written. */
    fun deputy(currentId: String?) {
        if (currentId == deputyId) return
        deputyId = currentId
        log.info { if (currentId == null) "$dataCentre has no deputy" else "$currentId is the deputy of $dataCentre" }
    }

    /** Result of a table call; [fault] is null if the call succeeded. */
    fun table(fault: String?) {
        if (fault != null && tableFault == null) log.warn { "The owner row of $dataCentre is not reachable: $fault" }
        if (fault == null && tableFault != null) log.info { "The owner row of $dataCentre is reachable again" }
        tableFault = fault
    }

    /** Result of a request to [grantorId] for a lease; [fault] is null if the lease was granted. */
    fun lease(grantorId: String, fault: String?) {
        val previous = if (fault == null) leaseFaults.remove(grantorId) else leaseFaults.put(grantorId, fault)
        if (fault != null && previous == null) log.warn { "$grantorId granted no lease of $dataCentre: $fault" }
        if (fault == null && previous != null) log.info { "$grantorId grants leases of $dataCentre again" }
    }

    /** Why this process refused the last lease that an owner requested; null if it granted the lease. */
    fun refusal(reason: String?) {
        if (reason != null && reason != refusal) log.warn { "Refused a deputy lease of $dataCentre: $reason" }
        refusal = reason
    }
}
