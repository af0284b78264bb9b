/**
 * Asks the advice service which workers may run a step.
 *
 * The advice service handles one call at a time for each calling machine, so the leader spreads its calls over all
 * processes and splits a question about many workers into calls that run in parallel. Long calls may use only a part
 * of the processes, so that a short call need not wait behind a long one.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AdviceTicket
import dev.bronzeshore.core.cluster.StepName
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** A process through which the advice service can be called. */
public class AdviceClient(
    public val name: String,
    /** Returns null if the call failed. */
    public val ask: suspend (StepName, List<String>, timeoutMs: Long) -> List<AdviceTicket>?,
)

/** Most workers in one call. The service takes twice as many, but most of a ticket's validity would then be over. */
private const val MAX_WORKERS_IN_CALL = 50

/** Workers in each of several parallel calls; with fewer, most of the total time is spent on fixed costs. */
internal const val WORKERS_IN_PARALLEL_CALL = 30

/** Part of a ticket's validity that passes in transit from the service and to the worker. */
private const val TICKET_TRANSIT_MS = 60L
private const val RETRY_PAUSE_MS = 100L

/** Time beyond the service's own for a call to pass through another process; a longer wait means that it is lost. */
private const val CALL_MARGIN_MS = 700L

/** A client whose call failed is skipped for this time. */
private const val CLIENT_PAUSE_MS = 2_000L

internal class AdviceDispatcher(private val context: TermContext, private val clients: () -> List<AdviceClient>) {
    /** Length of the call that each busy client makes. */
    private val callOf = HashMap<String, CallLength>()
    private val pausedUntilMs = HashMap<String, Long>()

    /** Processes that can make calls now, or once their present call is over. */
    private val usableClients: List<AdviceClient>
        get() {
            val now = context.clock()
            return clients().filter { (pausedUntilMs[it.name] ?: Long.MIN_VALUE) <= now }
        }

    private var needs = AdviceNeeds(clients = 0)

    /** An empty collection of needs, as large as the number of clients makes sense of. */
    fun newNeeds() = AdviceNeeds(usableClients.size)

    /** Sends calls for the needs in their order, as long as there are idle clients, and the others when there are. */
    fun ask(needs: AdviceNeeds) {
        this.needs = needs
        askNext()
    }

    private fun askNext() {
        val open = needs.all
        if (open.isEmpty()) return
        val usable = usableClients
        val idleClients = ArrayDeque(usable.filter { it.name !in callOf })
        val slots = AdviceSlots(usable.size, usable.mapNotNull { callOf[it.name] }, open.map { it.length })
        for (need in open) {
            if (idleClients.isEmpty()) return
            val calls = splitIntoCalls(need.workers, minOf(slots.freeFor(need.length), idleClients.size))
            if (calls.isEmpty()) continue
            needs.remove(need)
            if (!need.isOpen(context.clock())) continue
            calls.forEach {
                slots.begin(need.length)
                send(idleClients.removeFirst(), need.step, it, need.length)
            }
        }
    }

    private fun durationMs(step: TrackedStep, workers: Int): Long = step.job.terms.advice?.durationMs(workers) ?: 0

    private fun send(client: AdviceClient, step: TrackedStep, workers: List<WorkerIncarnation>, length: CallLength) {
        callOf[client.name] = length
        step.advice.beginCall(workers)
        val timeoutMs = durationMs(step, workers.size) + CALL_MARGIN_MS
        context.launchGuarded("advice") {
            try {
                val answer = client.ask(step.name, workers.map { it.workerId }, timeoutMs)
                handleAnswer(client, step, workers, answer)
            } finally {
                callOf -= client.name
                step.advice.endCall(workers)
                askNext()
                context.wakePlanner()
            }
        }
    }

    private fun handleAnswer(
        client: AdviceClient,
        step: TrackedStep,
        workers: List<WorkerIncarnation>,
        answer: List<AdviceTicket>?,
    ) {
        val now = context.clock()
        if (answer == null) {
            step.advice.recordFailure(retryAtMs = now + RETRY_PAUSE_MS)
            pausedUntilMs[client.name] = now + CLIENT_PAUSE_MS
            context.metrics.advice("failed")
            context.log.event("advice_failed", "step" to step.name, "caller" to client.name)
            return
        }
        val validityMs = step.job.terms.advice?.validityMs ?: 0
        step.advice.record(workers, answer, now + validityMs - TICKET_TRANSIT_MS)
        context.adviceShares.record(step.job.terms.queue, workers.size, answer.size)
        context.metrics.advice("answered")
        context.log.event(
            "advice",
            "step" to step.name,
            "asked" to workers.size,
            "good" to answer.size,
            "caller" to client.name,
        )
    }
}

/** Splits [workers] evenly into at most [maxCalls] calls; workers beyond their capacity are left for a later round. */
internal fun <T> splitIntoCalls(workers: List<T>, maxCalls: Int): List<List<T>> {
    if (workers.isEmpty() || maxCalls <= 0) return emptyList()
    val calls = minOf(maxCalls, ceilDiv(workers.size, WORKERS_IN_PARALLEL_CALL))
    val size = ceilDiv(workers.size, calls).coerceAtMost(MAX_WORKERS_IN_CALL)
    return workers.chunked(size).take(calls)
}

private fun ceilDiv(total: Int, divisor: Int): Int = (total + divisor - 1) / divisor
