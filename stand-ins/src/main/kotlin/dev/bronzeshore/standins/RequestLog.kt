/** Slots of an endpoint and the records of its requests. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.ClockMs

/** Thread-safe. */
internal class RequestLog(private val plan: EndpointPlan, private val clock: ClockMs) {
    private val requests = mutableListOf<RequestRecord>()
    private var slotsInUse = 0
    private var highestSlotsInUse = 0

    /** Records a request and occupies a slot; returns the index of the request, or null if no slot was free. */
    @Synchronized
    fun begin(requestId: String?, method: String, path: String): Int? {
        val nowMs = clock()
        val record = RequestRecord(requestId, plan.id, method, path, nowMs)
        if (slotsInUse >= plan.slots) {
            requests += record.copy(endedAtMs = nowMs, ending = RequestEnding.REFUSED_NO_SLOT)
            return null
        }
        slotsInUse++
        highestSlotsInUse = maxOf(highestSlotsInUse, slotsInUse)
        requests += record
        return requests.lastIndex
    }

    /** Ends a request and releases its slot; only the first call for a request has an effect. */
    @Synchronized
    fun end(index: Int, ending: RequestEnding, bodyBytes: Long) {
        if (requests[index].ending != null) return
        slotsInUse--
        requests[index] = requests[index].copy(endedAtMs = clock(), ending = ending, bodyBytes = bodyBytes)
    }

    @Synchronized
    fun records(calls: CallCounts): ServerRecords = ServerRecords(
        plan.id,
        ServerRole.ENDPOINT,
        calls,
        slots = plan.slots,
        highestSlotsInUse = highestSlotsInUse,
        requests = requests.toList(),
    )
}
