/** Decides what follows when a part is no longer on a worker: another attempt, a gang restart or the end of the job. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.JobState
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TaskAction
import dev.bronzeshore.core.TaskOrder
import dev.bronzeshore.core.WorkPlacer

internal class PartRequeuer(private val placer: WorkPlacer, private val outputs: TrackerOutputs) {
    /** Requeues a part that is no longer on a worker, or holds it if its job is a gang or cancelled. */
    fun requeue(job: TrackedJob, part: TrackedPart) {
        when {
            job.isCancelled || job.startsTogether -> hold(job, part)
            else -> {
                part.state = PartState.PENDING
                placer.partEnded(job.jobId, part.index, part.workerId, requeue = true)
            }
        }
    }

    /** Stops the other parts; once none is on a worker, the whole gang restarts or the cancelled job ends. */
    private fun hold(job: TrackedJob, part: TrackedPart) {
        if (part.isOnWorker) placer.partEnded(job.jobId, part.index, part.workerId, requeue = false)
        part.state = PartState.HELD
        stopRunningParts(job)
        if (job.parts.none { it.isOnWorker }) {
            if (job.isCancelled) outputs.endJob(job, JobState.CANCELLED, cancelCode(job)) else restartGang(job)
        }
    }

    /** Requeues the parts that no worker reported after a takeover. */
    fun requeueUnaccounted(job: TrackedJob) {
        val missing = job.parts.filter { it.state == PartState.UNACCOUNTED }
        if (missing.isEmpty() || job.isEnding) return
        val isPartOfRunningGang = job.startsTogether && missing.size < job.parts.size
        if (job.isCancelled || isPartOfRunningGang) {
            missing.forEach { it.state = PartState.HELD }
            hold(job, missing.first())
        } else {
            missing.forEach { it.state = PartState.PENDING }
            placer.submit(job.toWorkItem()).onLeft { refuse(job, it.code) }
        }
    }

    private fun restartGang(job: TrackedJob) {
        job.parts.filter { it.state == PartState.HELD }.forEach { it.state = PartState.PENDING }
        placer.submit(job.toWorkItem()).onLeft { refuse(job, it.code) }
    }

    /** Ends a job that can never be placed; a job that may have run is not reported as not run. */
    fun refuse(job: TrackedJob, code: ResultCode) {
        when {
            !job.mayHaveRun -> outputs.endJob(job, JobState.REFUSED, code)
            code == ResultCode.DEADLINE_PASSED -> placer.submit(job.toWorkItem()).onLeft { refuse(job, it.code) }
            else -> outputs.endJob(job, JobState.UNKNOWN, ResultCode.OUTCOME_UNKNOWN)
        }
    }

    private fun stopRunningParts(job: TrackedJob) = job.parts.filter { it.isOnWorker }.forEach {
        outputs.sendOrder(it.workerId, TaskOrder(job.taskId(it), TaskAction.STOP))
    }

    /** Ends a job before all of its parts have ended; the others are stopped. */
    fun endEarly(job: TrackedJob, part: TrackedPart, state: JobState, code: ResultCode) {
        part.state = PartState.ENDED
        placer.partEnded(job.jobId, part.index, part.workerId, requeue = false)
        placer.cancel(job.jobId)
        stopRunningParts(job)
        outputs.endJob(job, state, code)
    }

    /** Ends a job whose last part has ended. */
    fun endIfComplete(job: TrackedJob) {
        when {
            job.parts.all { it.state == PartState.ENDED } -> outputs.endJob(job, JobState.SUCCEEDED, ResultCode.OK)
            job.isCancelled &&
                job.parts.none {
                    it.isOnWorker
                } -> outputs.endJob(job, JobState.CANCELLED, cancelCode(job))
        }
    }

    /** Cancels a job: pending parts leave the queue at once, running ones are stopped. */
    fun cancel(job: TrackedJob) {
        if (job.isCancelled || job.isEnding) return
        job.isCancelled = true
        placer.cancel(job.jobId)
        stopRunningParts(job)
        val mayStillRun = job.parts.any { it.isOnWorker || it.state == PartState.UNACCOUNTED }
        if (!mayStillRun) outputs.endJob(job, JobState.CANCELLED, cancelCode(job))
    }

    /** `CANCELLED` means not run, so it is returned only if no part may have started. */
    private fun cancelCode(job: TrackedJob): ResultCode =
        if (job.mayHaveRun) ResultCode.CANCELLED_LATE else ResultCode.CANCELLED
}
