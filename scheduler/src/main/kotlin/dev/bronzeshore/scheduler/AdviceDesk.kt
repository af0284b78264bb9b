/**
 * Asks which workers may run a step, through several processes.
 *
 * The advice service handles one call at a time for each calling machine, so the leader spreads its calls over all
 * processes. Long calls may use only a part of them: a short call must not wait behind a long one.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AdviceTicket
import dev.bronzeshore.core.cluster.StepName
import dev.bronzeshore.core.cluster.WorkerLife
import kotlinx.coroutines.launch

/** A process that can call the advice service. */
public class AdviceClient(
    public val name: String,
    /** Null when no answer came. */
    public val ask: suspend (StepName, List<String>) -> List<AdviceTicket>?,
)

/** Most workers that one call may name. */
private const val MAX_WORKERS_IN_CALL = 100

/** Calls that take longer than this use at most [LONG_CALL_SHARE] of the callers. */
private const val LONG_CALL_MS = 60.0
private const val LONG_CALL_SHARE = 0.75

/** Time that a ticket loses on its way from the service and to the worker. */
private const val TICKET_TRANSIT_MS = 60L
private const val RETRY_PAUSE_MS = 100L

/** A caller that did not answer is passed over for this time. */
private const val CALLER_PAUSE_MS = 2_000L

internal class AdviceDesk(
    private val context: TermContext,
    private val callers: () -> List<AdviceClient>,
    private val eligible: (TrackedStep) -> List<TrackedWorker>,
) {
    private val busy = HashSet<String>()
    private val busyWithLong = HashSet<String>()
    private val pausedUntilMs = HashMap<String, Long>()

    /** Asks for the steps in their order, as far as callers are idle. */
    fun ask(steps: List<TrackedStep>) {
        val now = context.clock()
        val usable = callers().filter { (pausedUntilMs[it.name] ?: Long.MIN_VALUE) <= now }
        val maxLong = (usable.size * LONG_CALL_SHARE).toInt().coerceAtLeast(1)
        val idle = ArrayDeque(usable.filter { it.name !in busy })
        val wanting = steps.filter { !it.advice.isInFlight && it.advice.notBeforeMs <= now }
        for (step in wanting) {
            val caller = idle.firstOrNull() ?: return
            val workers = workersToAsk(step, now)
            val isLong = durationMs(step, workers.size) > LONG_CALL_MS
            if (workers.isEmpty() || isLong && busyWithLong.size >= maxLong) continue
            idle.removeFirst()
            send(caller, step, workers, isLong)
        }
    }

    private fun durationMs(step: TrackedStep, workers: Int): Double =
        step.job.terms.advice?.let { it.decisionMs + it.perWorkerMs * workers } ?: 0.0

    /** All eligible workers the first time; afterwards those that may run the step and those not asked for yet. */
    private fun workersToAsk(step: TrackedStep, now: Long): List<WorkerLife> {
        val advice = step.advice
        return eligible(step)
            .filter { !advice.isAsked(it.life) || advice.mayRunOn(it.life) && advice.ticketFor(it.life, now) == null }
            .sortedByDescending { it.free.processorsMillicores }
            .take(MAX_WORKERS_IN_CALL)
            .map { it.life }
    }

    private fun send(caller: AdviceClient, step: TrackedStep, workers: List<WorkerLife>, isLong: Boolean) {
        busy += caller.name
        if (isLong) busyWithLong += caller.name
        step.advice.isInFlight = true
        context.scope.launch {
            try {
                val answer = caller.ask(step.name, workers.map { it.workerId })
                take(caller, step, workers, answer)
            } finally {
                busy -= caller.name
                busyWithLong -= caller.name
                step.advice.isInFlight = false
                context.wakePlanner()
            }
        }
    }

    private fun take(caller: AdviceClient, step: TrackedStep, workers: List<WorkerLife>, answer: List<AdviceTicket>?) {
        val now = context.clock()
        if (answer == null) {
            step.advice.notBeforeMs = now + RETRY_PAUSE_MS
            pausedUntilMs[caller.name] = now + CALLER_PAUSE_MS
            context.metrics.advice("failed")
            context.log.event("advice_failed", "step" to step.name, "caller" to caller.name)
            return
        }
        val validityMs = step.job.terms.advice?.validityMs ?: 0
        step.advice.record(workers, answer, now + validityMs - TICKET_TRANSIT_MS)
        context.metrics.advice("answered")
        context.log.event(
            "advice",
            "step" to step.name,
            "asked" to workers.size,
            "good" to answer.size,
            "caller" to caller.name,
        )
    }
}
