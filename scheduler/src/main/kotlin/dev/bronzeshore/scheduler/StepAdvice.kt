/** Answers of the advice service about one step. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AdviceTicket
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** A ticket and the monotonic time until which a start request may carry it. */
internal data class CachedTicket(val ticket: String, val validUntilMs: Long)

/**
 * Tracks which workers may run a step, which does not change, and the tickets that prove it, which expire.
 *
 * A worker that restarts may be of another kind, so both are kept for each incarnation of a worker.
 */
internal class StepAdvice {
    private val tickets = HashMap<WorkerIncarnation, CachedTicket>()
    private val asked = HashSet<WorkerIncarnation>()

    /** Workers of the calls that are in flight. */
    private val inFlight = HashSet<WorkerIncarnation>()

    /** Monotonic time before which the service is not called again, after a failed call. */
    var notBeforeMs: Long = Long.MIN_VALUE

    /** Workers that may run the step, as far as known. */
    val goodCount: Int get() = tickets.size

    fun isAsked(incarnation: WorkerIncarnation): Boolean = incarnation in asked

    fun mayRunOn(incarnation: WorkerIncarnation): Boolean = incarnation in tickets

    fun ticketFor(incarnation: WorkerIncarnation, nowMs: Long): String? =
        tickets[incarnation]?.takeIf { it.validUntilMs > nowMs }?.ticket

    /** New workers are asked about only after all earlier calls have been answered. */
    fun mayExplore(nowMs: Long): Boolean = inFlight.isEmpty() && notBeforeMs <= nowMs

    fun mayAskAbout(incarnation: WorkerIncarnation, nowMs: Long): Boolean =
        notBeforeMs <= nowMs && incarnation !in inFlight

    fun beginCall(workers: List<WorkerIncarnation>) {
        inFlight += workers
    }

    fun endCall(workers: List<WorkerIncarnation>) {
        inFlight -= workers.toSet()
    }

    /** Records an answer, which leaves out the workers that may not run the step. */
    fun record(askedWorkers: List<WorkerIncarnation>, answer: List<AdviceTicket>, validUntilMs: Long) {
        asked += askedWorkers
        val ticketOf = answer.associate { it.workerId to it.ticket }
        for (worker in askedWorkers) {
            val ticket = ticketOf[worker.workerId]
            if (ticket == null) tickets.remove(worker) else tickets[worker] = CachedTicket(ticket, validUntilMs)
        }
    }

    /** Expires the ticket after the worker refused it, for instance because the worker has restarted. */
    fun expire(incarnation: WorkerIncarnation) {
        tickets.computeIfPresent(incarnation) { _, held -> held.copy(validUntilMs = Long.MIN_VALUE) }
    }
}
