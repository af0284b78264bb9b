/** What is known of the workers that may run a step. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AdviceTicket
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** A ticket and the steady time until which a start may carry it. */
internal data class HeldTicket(val ticket: String, val validUntilMs: Long)

/**
 * The workers that may run a step do not change; only the tickets that prove it expire.
 *
 * A worker that starts again may be of another kind, so both are kept for each life of a worker.
 */
internal class StepAdvice {
    private val tickets = HashMap<WorkerIncarnation, HeldTicket>()
    private val asked = HashSet<WorkerIncarnation>()
    var isInFlight: Boolean = false

    /** Not asked again before this steady time, after a call that failed. */
    var notBeforeMs: Long = Long.MIN_VALUE

    val isKnown: Boolean get() = asked.isNotEmpty()

    fun isAsked(incarnation: WorkerIncarnation): Boolean = incarnation in asked

    fun mayRunOn(incarnation: WorkerIncarnation): Boolean = incarnation in tickets

    fun ticketFor(incarnation: WorkerIncarnation, nowMs: Long): String? = tickets[incarnation]?.takeIf { it.validUntilMs > nowMs }?.ticket

    /** Takes in an answer, which leaves out the workers that may not run the step. */
    fun record(askedWorkers: List<WorkerIncarnation>, answer: List<AdviceTicket>, validUntilMs: Long) {
        asked += askedWorkers
        val ticketOf = answer.associate { it.workerId to it.ticket }
        for (incarnation in askedWorkers) {
            val ticket = ticketOf[incarnation.workerId]
            if (ticket == null) tickets.remove(incarnation) else tickets[incarnation] = HeldTicket(ticket, validUntilMs)
        }
    }

    /** The worker refused the ticket, for instance because it has started again. */
    fun expire(incarnation: WorkerIncarnation) {
        tickets.computeIfPresent(incarnation) { _, held -> held.copy(validUntilMs = Long.MIN_VALUE) }
    }
}
