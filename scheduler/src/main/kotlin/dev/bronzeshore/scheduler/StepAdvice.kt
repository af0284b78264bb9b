/** What is known of the workers that may run a step. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AdviceTicket

/** A ticket and the steady time until which a start may carry it. */
internal data class HeldTicket(val ticket: String, val validUntilMs: Long)

/** The workers that may run a step do not change; only the tickets that prove it expire. */
internal class StepAdvice {
    private val tickets = HashMap<String, HeldTicket>()
    private val asked = HashSet<String>()
    var isInFlight: Boolean = false

    /** Not asked again before this steady time, after a call that failed. */
    var notBeforeMs: Long = Long.MIN_VALUE

    val isKnown: Boolean get() = asked.isNotEmpty()

    fun isAsked(workerId: String): Boolean = workerId in asked

    fun mayRunOn(workerId: String): Boolean = workerId in tickets

    fun ticketFor(workerId: String, nowMs: Long): String? =
        tickets[workerId]?.takeIf { it.validUntilMs > nowMs }?.ticket

    fun record(askedWorkers: List<String>, answer: List<AdviceTicket>, validUntilMs: Long) {
        asked += askedWorkers
        for (advice in answer) tickets[advice.workerId] = HeldTicket(advice.ticket, validUntilMs)
    }

    /** The worker refused the ticket, for instance because it has started again. */
    fun expire(workerId: String) {
        tickets.computeIfPresent(workerId) { _, held -> held.copy(validUntilMs = Long.MIN_VALUE) }
    }
}
