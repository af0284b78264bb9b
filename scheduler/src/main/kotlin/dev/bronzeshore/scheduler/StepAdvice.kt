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
    private var notBeforeMs: Long = Long.MIN_VALUE

    /** The last call has failed; there has been no answer since. */
    var hasFailed: Boolean = false
        private set

    val isKnown: Boolean get() = asked.isNotEmpty()

    /** Workers that may run the step, as far as known. */
    val goodCount: Int get() = tickets.size

    fun isAsked(incarnation: WorkerIncarnation): Boolean = incarnation in asked

    fun mayRunOn(incarnation: WorkerIncarnation): Boolean = incarnation in tickets

    fun ticketFor(incarnation: WorkerIncarnation, nowMs: Long): String? =
        tickets[incarnation]?.takeIf { it.validUntilMs > nowMs }?.ticket

    /** The next calls are made only after all earlier ones have been answered. */
    fun mayAsk(nowMs: Long): Boolean = inFlight.isEmpty() && notBeforeMs <= nowMs

    fun hasOrExpectsTicket(incarnation: WorkerIncarnation, nowMs: Long): Boolean =
        ticketFor(incarnation, nowMs) != null || incarnation in inFlight && incarnation in tickets

    fun beginCall(workers: List<WorkerIncarnation>) {
        inFlight += workers
    }

    fun endCall(workers: List<WorkerIncarnation>) {
        inFlight -= workers.toSet()
    }

    /** Records that a call has failed; the next one is made at [retryAtMs] at the earliest. */
    fun recordFailure(retryAtMs: Long) {
        hasFailed = true
        notBeforeMs = retryAtMs
    }

    /** Records an answer, which leaves out the workers that may not run the step. */
    fun record(askedWorkers: List<WorkerIncarnation>, answer: List<AdviceTicket>, validUntilMs: Long) {
        hasFailed = false
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
