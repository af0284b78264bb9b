/**
 * Bounds what accounts may have running on workers that have not reported to this leader since the takeover.
 *
 * Only jobs that were stored before the takeover can have such runs, and the runs take no more than these workers have.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

/** A caller may ask for more than a Long can hold; limits can still be reduced by this amount without overflow. */
private const val MAX_AMOUNT = Long.MAX_VALUE / 4

internal class UnknownUsage(private val context: TermContext, private val registry: WorkerRegistry) {
    /** Most that unknown runs of [account] may take now. */
    fun of(account: String): Resources {
        if (!registry.former.hasUnknownRuns) return Resources.NONE
        val wanted = context.jobRegistry.openJobs
            .filter { it.accepted.account == account && mayHaveUnknownRuns(it) }
            .fold(Resources.NONE) { sum, job -> sum.plusOpen(job).plusUnopened(job) }
        return registry.former.unreportedCapacity?.let { wanted.atMost(it) } ?: wanted
    }

    private fun Resources.plusOpen(job: TrackedJob): Resources =
        job.openSteps.fold(this) { sum, step -> sum.plusTasks(step.accountDemand, step.tasks.count { it.isUnplaced }) }

    /** The former leader may have started any occurrences that were due. */
    private fun Resources.plusUnopened(job: TrackedJob): Resources {
        val occurrences = job.occurrences.unopenedDueCount(context.wallClock(), MAX_BACKLOG_TASKS_PER_JOB)
        return job.accepted.description.steps.fold(this) { sum, step ->
            sum.plusTasks(step.size, step.replicas * occurrences)
        }
    }

    private fun mayHaveUnknownRuns(job: TrackedJob) =
        !context.confirmation.isNewerThanTerm(job) && registry.former.mayHaveUnknownRuns(job.id)
}

/** Adds [count] tasks of [size]; amounts beyond [MAX_AMOUNT] count as that. */
private fun Resources.plusTasks(size: Resources, count: Int) = Resources(
    plusBounded(processorsMillicores, size.processorsMillicores, count),
    plusBounded(memoryBytes, size.memoryBytes, count),
    plusBounded(accelerators, size.accelerators, count),
)

private fun plusBounded(sum: Long, amount: Long, count: Int): Long =
    if (count > 0 && amount > (MAX_AMOUNT - sum) / count) MAX_AMOUNT else sum + amount * count

private val TrackedTask.isUnplaced: Boolean get() = !isDone && placement == null
