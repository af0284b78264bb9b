/**
 * Decides which tasks start where.
 *
 * A planning round goes through the waiting steps in order of urgency and places each task on the allowed worker with
 * the lowest cost, which favours fast workers and leaves little capacity unused. A gang starts as a whole or not at
 * all; while it waits, it reserves free capacity against later steps, so that a stream of small tasks cannot starve it.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.ClientAccounts

/** The starts of a round, and what steps need from the advice service, what they cannot start without first. */
internal class Plan(val starts: List<PlannedStart>, val adviceNeeds: AdviceNeeds)

internal class Planner(
    private val context: TermContext,
    private val trials: CrashTrials,
    private val unknownUsage: UnknownUsage,
    /** False while runs of the job that a former leader started may exist without this leader knowing them. */
    private val mayStart: (TrackedJob) -> Boolean,
) {
    private val opener = OccurrenceOpener(context.jobRegistry)

    /** Plans a round; [adviceNeeds] collects the advice calls that steps want. Nothing starts without leases. */
    fun plan(adviceNeeds: AdviceNeeds): Plan {
        if (!context.authority.mayGrantLeases()) return Plan(emptyList(), adviceNeeds)
        val now = context.clock()
        trials.update(now)
        val accounts = context.accounts()
        val budget = AccountBudget(accounts, context.workerPool.accountUsage, unknownUsage::of)
        val round = PlanningRound(context, now, context.firstRunNumber, trials, budget, adviceNeeds)
        val waiting = waitingSteps(now)
        val ranked = if (accounts == null) waiting else markOverShare(waiting, accounts)
        ranked.sortedWith(STEP_ORDER).forEach { round.place(it.step) }
        context.gangWaits = round.gangWaits
        if (context.confirmation.isWanted) context.wakeJournal()
        return Plan(round.starts, adviceNeeds)
    }

    private fun markOverShare(steps: List<RankedStep>, accounts: ClientAccounts): List<RankedStep> {
        val pool = context.workerPool
        val waitingAccounts = steps.mapNotNullTo(HashSet()) { it.step.job.accepted.account }
        val shares = AccountShares(accounts, pool.accountUsage, pool.capacity, waitingAccounts)
        return steps.map { ranked ->
            val account = ranked.step.job.accepted.account
            if (account != null && shares.isOverShare(account)) ranked.copy(isOverShare = true) else ranked
        }
    }

    private fun waitingSteps(now: Long): List<RankedStep> {
        opener.openDue(context.wallClock())
        val ranked = ArrayList<RankedStep>()
        for (job in context.jobRegistry.openJobs) {
            if (!context.confirmation.covers(job) || !mayStart(job)) continue
            for (step in job.openSteps) {
                val delayMs = step.dueAtMs?.let { (it - job.accepted.acceptedAtMs).coerceAtLeast(0) } ?: 0
                if (step.hasPendingTasks && step.isUnblocked) ranked += rank(step, now, delayMs)
            }
        }
        return ranked
    }
}
