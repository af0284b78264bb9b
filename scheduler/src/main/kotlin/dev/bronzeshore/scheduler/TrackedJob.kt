/** A job as the leader tracks it. Not thread-safe: all of it belongs to the control thread. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.TaskName

internal class TrackedJob(
    val accepted: AcceptedJob,
    /** Time of the steady clock at which the leader counts the job as accepted. */
    val acceptedAtMs: Long,
) {
    val id: String get() = accepted.jobId
    val terms get() = accepted.terms
    var phase: JobPhase = JobPhase.PENDING
    var endedAtMs: Long? = null

    /** The phase that callers may see: an end is shown only once it is stored. */
    var savedPhase: JobPhase = JobPhase.PENDING

    /** Steps of all occurrences, in the order of the occurrences. */
    val steps: List<TrackedStep> = (0 until accepted.description.occurrences).flatMap { occurrence ->
        accepted.description.steps.indices.map { TrackedStep(this, occurrence, it) }
    }

    val isOpen: Boolean get() = phase == JobPhase.PENDING || phase == JobPhase.RUNNING

    /** Estimated time of the longest chain of steps, and of what follows each step. */
    private val chainFromMs: LongArray = chains()

    /** Latest time of the steady clock at which the job ends within its objective. */
    val objectiveAtMs: Long = acceptedAtMs + (terms.stretch * chainMs).toLong() + terms.graceMs

    /** The whole chain including one call for advice for each step. */
    private val chainMs: Long get() = chainFromMs.max()

    fun step(occurrence: Int, number: Int): TrackedStep? = if (number in accepted.description.steps.indices) {
        steps.getOrNull(occurrence * accepted.description.steps.size + number)
    } else {
        null
    }

    fun task(name: TaskName): TrackedTask? = step(name.occurrence, name.step)?.tasks?.getOrNull(name.index)

    /** Estimated time from the start of a step to the end of the job. */
    fun remainingChainMs(step: TrackedStep): Long = chainFromMs[step.number]

    fun toProgress(): JobProgress = JobProgress(phase, steps.mapNotNull { it.toProgress() }, endedAtMs)

    /** Takes over what was stored by a former leader. */
    fun restore(progress: JobProgress) {
        phase = progress.phase
        savedPhase = progress.phase
        endedAtMs = progress.endedAtMs
        for (stored in progress.steps) step(stored.occurrence, stored.step)?.restore(stored)
    }

    private fun chains(): LongArray {
        val description = accepted.description.steps
        val advice = terms.advice
        val result = LongArray(description.size)
        for (number in description.indices.reversed()) {
            val following = description.indices.filter { number in description[it].after }
            val adviceMs = advice?.let { it.decisionMs + it.perWorkerMs * ADVICE_WORKERS_IN_OBJECTIVE } ?: 0.0
            result[number] =
                description[number].estimateMs + adviceMs.toLong() + (following.maxOfOrNull { result[it] } ?: 0)
        }
        return result
    }

    private companion object {
        /** The platform's objective counts one call for advice on this many workers a step. */
        const val ADVICE_WORKERS_IN_OBJECTIVE = 30
    }
}
