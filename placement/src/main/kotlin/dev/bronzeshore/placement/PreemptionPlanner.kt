/** Chooses running parts to preempt so that other work can start, and tracks the preemptions in progress. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Preemption
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskAction
import dev.bronzeshore.core.Urgency

/** [isIdempotent] tells whether a job's parts may be stopped without a checkpoint if the requested one fails. */
internal class PreemptionPlanner(
    private val clock: ClockMs,
    private val shares: FairShareTracker,
    private val isIdempotent: (jobId: String) -> Boolean,
) {
    private val stopping: LinkedHashSet<RunningPart> = LinkedHashSet()
    private val preemptions: ArrayList<Preemption> = ArrayList()

    /**
     * Returns the parts on [worker] to preempt so that [size] fits, or null if that is not possible.
     *
     * [available] is the capacity that [size] may use already, including that of parts that are being preempted.
     */
    fun chooseVictims(
        worker: WorkerState,
        size: Resources,
        available: Resources,
        rule: (RunningPart) -> Boolean,
    ): List<RunningPart>? {
        if (size.fitsIn(available)) return emptyList()
        val chosen = ArrayList<RunningPart>()
        var freeAfter = available
        for (part in worker.parts.filter { mayPreempt(it) && rule(it) }.sortedWith(PREEMPTION_ORDER)) {
            chosen.add(part)
            freeAfter += part.allocation
            if (size.fitsIn(freeAfter)) return withoutUnneeded(chosen, size, freeAfter)
        }
        return null
    }

    /** Returns the parts of [plan] to preempt so that its limit allows [size] more, or null if that is not possible. */
    fun chooseVictimsOfPlan(plan: PlanState, size: Resources, rule: (RunningPart) -> Boolean): List<RunningPart>? {
        val limit = plan.limit ?: return null
        var used = plan.used - plan.stopping + size
        if (used.fitsIn(limit)) return emptyList()
        val chosen = ArrayList<RunningPart>()
        val newest = plan.kinds.values.flatMap { it.running.toList().takeLast(MAX_VICTIM_CANDIDATES_PER_KIND) }
        for (part in newest.filter { mayPreempt(it) && rule(it) }.sortedWith(PREEMPTION_ORDER)) {
            chosen.add(part)
            used -= part.job.item.size
            if (used.fitsIn(limit)) return chosen
        }
        return null
    }

    /** Rule for time-critical work: preempts work that is not, except kinds below their share if it exceeds its own. */
    fun timeCriticalRule(preemptor: JobEntry): (RunningPart) -> Boolean {
        val nowMs = clock()
        val entitled = shares.isUrgentWithinShare(preemptor.kindQueue, preemptor.item.size)
        return { victim ->
            !victim.job.isTimeCritical(nowMs) &&
                (entitled || !victim.job.kindQueue.isBelowShare) &&
                canRestartInTime(victim)
        }
    }

    /** Rule for a due gang reservation: preempts backfill, and batch work that is not more urgent. */
    fun gangRule(preemptor: JobEntry): (RunningPart) -> Boolean = { victim ->
        victim.job.item.kind.policy == Policy.BATCH &&
            (victim.mustEndByMs != null || victim.job.item.urgency >= preemptor.item.urgency)
    }

    /** Rule for a kind below its share: preempts batch work of other kinds that is backfill or on a borrowed share. */
    fun shareRule(preemptor: JobEntry): (RunningPart) -> Boolean = { victim ->
        victim.job.kindQueue !== preemptor.kindQueue &&
            victim.job.item.kind.policy == Policy.BATCH &&
            (victim.mustEndByMs != null || shares.usesBorrowedShare(victim))
    }

    /** Requests that [victims] write a checkpoint and end. */
    fun preempt(victims: List<RunningPart>) {
        val nowMs = clock()
        for (victim in victims) {
            if (victim.isStopping) continue
            victim.job.budget.record(victim.part, nowMs)
            victim.worker.stopping += victim.allocation
            victim.job.kindQueue.plan.stopping += victim.job.item.size
            requestPreemption(victim, nowMs, TaskAction.CHECKPOINT)
        }
    }

    /** Repeats preemptions that had no effect, because a request or its report may have been lost. */
    fun retryUnanswered() {
        val nowMs = clock()
        while (stopping.isNotEmpty()) {
            val oldest = stopping.first()
            if ((oldest.preemptedAtMs ?: 0) + RETRY_AFTER_MS > nowMs) return
            val action = if (isIdempotent(oldest.job.item.jobId)) TaskAction.STOP else TaskAction.CHECKPOINT
            requestPreemption(oldest, nowMs, action)
        }
    }

    fun onPartEnded(running: RunningPart) {
        if (stopping.remove(running)) running.job.kindQueue.plan.stopping -= running.job.item.size
    }

    fun drainPreemptions(): List<Preemption> {
        if (preemptions.isEmpty()) return emptyList()
        val drained = preemptions.toList()
        preemptions.clear()
        return drained
    }

    /** Workers that run the newest parts of [kinds]. */
    fun workersOfNewestParts(kinds: Collection<KindQueue>): List<WorkerState> = kinds
        .flatMap { it.running.toList().takeLast(MAX_NEWEST_PER_KIND) }
        .map { it.worker }
        .distinct()

    /** Unreserved capacity that is free on [worker] once all parts that are being preempted have ended. */
    fun availableOn(worker: WorkerState): Resources = worker.free + worker.stopping

    private fun requestPreemption(victim: RunningPart, nowMs: Long, action: TaskAction) {
        victim.preemptedAtMs = nowMs
        stopping.remove(victim)
        stopping.add(victim)
        preemptions.add(Preemption(victim.job.item.jobId, victim.part, victim.worker.workerId, action))
    }

    /** A part placed in this round is exempt, because its start has not been sent yet. */
    private fun mayPreempt(part: RunningPart): Boolean {
        val nowMs = clock()
        val isExempt = part.isStopping || part.startedAtMs >= nowMs
        return part.isPreemptible && !isExempt && part.job.budget.allows(part.part, nowMs)
    }

    /** Important work is preempted only if it can start again well before its latest start. */
    private fun canRestartInTime(part: RunningPart): Boolean {
        val startBeforeMs = part.job.item.startBeforeMs
        if (!part.job.isImportant || startBeforeMs == null) return true
        return clock() + part.job.item.declaredRunMs + JobEntry.TIME_CRITICAL_BEFORE_MS < startBeforeMs
    }

    private fun withoutUnneeded(
        chosen: MutableList<RunningPart>,
        size: Resources,
        total: Resources,
    ): List<RunningPart> {
        var freeAfter = total
        for (part in chosen.toList()) {
            if (!size.fitsIn(freeAfter - part.allocation)) continue
            freeAfter -= part.allocation
            chosen.remove(part)
        }
        return chosen
    }

    internal companion object {
        /** A checkpoint takes about 2 s; a retry after 3 s still meets the 7.7 s limit for urgent work. */
        private const val RETRY_AFTER_MS = 3_000L

        private const val MAX_NEWEST_PER_KIND = 8

        /** Parts of one kind examined when a plan is at its limit. */
        private const val MAX_VICTIM_CANDIDATES_PER_KIND = 64

        /** Backfill first, important work last, then the least urgent, then what has run for the shortest time. */
        private val PREEMPTION_ORDER: Comparator<RunningPart> =
            compareBy<RunningPart> { it.mustEndByMs == null }
                .thenBy { it.job.isImportant }
                .thenByDescending { it.job.item.urgency }
                .thenByDescending { it.startedAtMs }

        /** Cost of preempting [victims]: low for few parts of low urgency, very high for important ones. */
        fun cost(victims: List<RunningPart>): Int = victims.sumOf { victim ->
            when {
                victim.job.isImportant -> IMPORTANT_COST
                victim.job.item.urgency == Urgency.PATIENT -> PATIENT_COST
                victim.job.item.urgency == Urgency.URGENT -> URGENT_COST
                else -> NORMAL_COST
            }
        }

        private const val PATIENT_COST = 2
        private const val NORMAL_COST = 5
        private const val URGENT_COST = 100
        private const val IMPORTANT_COST = 1_000
    }
}
