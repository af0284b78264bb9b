/** State machine of the parts of all open jobs of one data centre. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.JobState
import dev.bronzeshore.core.PartResult
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TaskAction
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskOrder
import dev.bronzeshore.core.TaskState
import dev.bronzeshore.core.TaskStatus

/** Attempts of one part before its job ends as failed. */
private const val MAX_FAILURES = 3

/** What the tracker asks of the other parts of this module. */
internal class TrackerOutputs(
    /** Sends an order to the worker with its next call. */
    val order: (workerId: String, order: TaskOrder) -> Unit,
    /** Tells the worker that it may forget an ended task. */
    val acknowledge: (workerId: String, task: TaskId) -> Unit,
    /** Notes that a worker holds a part. */
    val assigned: (workerId: String, job: TrackedJob, part: TrackedPart) -> Unit,
    /** Writes the final state of a job. */
    val end: (job: TrackedJob, state: JobState, code: ResultCode) -> Unit,
)

internal class JobTracker(private val context: JobsContext, private val outputs: TrackerOutputs) {
    private val jobs = LinkedHashMap<String, TrackedJob>()
    private val placer get() = context.placer
    private val requeuer = PartRequeuer(context.placer, outputs)

    val openJobs: Collection<TrackedJob> get() = jobs.values

    fun find(jobId: String): TrackedJob? = jobs[jobId]

    fun add(job: TrackedJob) {
        jobs[job.jobId] = job
    }

    fun remove(jobId: String) {
        jobs.remove(jobId)
    }

    /** Takes one line of a worker's report. */
    fun onStatus(workerId: String, status: TaskStatus) {
        val job = jobs[status.task.jobId]
        val part = job?.parts?.getOrNull(status.task.part)
        when {
            job == null || part == null || job.isEnding -> discard(workerId, status)
            part.state == PartState.UNACCOUNTED || part.state == PartState.PENDING -> adopt(job, part, workerId, status)
            part.workerId != workerId || part.attempt != status.task.attempt -> discard(workerId, status)
            part.isOnWorker -> advance(job, part, status)
            else -> if (status.state != TaskState.RUNNING &&
                part.result == null
            ) {
                outputs.acknowledge(workerId, status.task)
            }
        }
    }

    /** Stops a task that nobody waits for, or lets the worker forget it. */
    private fun discard(workerId: String, status: TaskStatus) {
        if (status.state == TaskState.RUNNING) {
            outputs.order(workerId, TaskOrder(status.task, TaskAction.STOP))
        } else {
            outputs.acknowledge(workerId, status.task)
        }
    }

    /** Takes over a task that another owner started, or that was given up too early and runs after all. */
    private fun adopt(job: TrackedJob, part: TrackedPart, workerId: String, status: TaskStatus) {
        val isUseful = status.state == TaskState.RUNNING || status.state == TaskState.SUCCEEDED
        if (!isUseful) {
            outputs.acknowledge(workerId, status.task)
            return
        }
        placer.adopt(job.toWorkItem(), part.index, workerId)
        part.state = PartState.STARTING
        part.workerId = workerId
        part.attempt = status.task.attempt
        part.startBeforeMs = 0
        part.leaseUntilMs = status.leaseUntilMs
        outputs.assigned(workerId, job, part)
        advance(job, part, status)
    }

    private fun advance(job: TrackedJob, part: TrackedPart, status: TaskStatus) {
        if (status.state != TaskState.REFUSED) part.mayHaveRun = true
        when (status.state) {
            TaskState.RUNNING -> confirmRunning(job, part, status)
            TaskState.SUCCEEDED -> succeed(job, part, status)
            TaskState.FAILED -> fail(job, part, status)
            TaskState.LEASE_EXPIRED -> lose(job, part, status.task)
            TaskState.STOPPED, TaskState.CHECKPOINTED, TaskState.REFUSED -> {
                outputs.acknowledge(part.workerId, status.task)
                requeuer.giveBack(job, part)
            }
        }
    }

    private fun confirmRunning(job: TrackedJob, part: TrackedPart, status: TaskStatus) {
        if (part.state == PartState.STARTING) {
            part.state = PartState.RUNNING
            part.startedAtMs = status.startedAtMs
            job.record = job.record.copy(state = JobState.RUNNING)
            reportStart(job, part, status)
        }
        placer.reportUsage(job.jobId, part.index, part.workerId, status.used)
        if (job.isCancelled) outputs.order(part.workerId, TaskOrder(status.task, TaskAction.STOP))
    }

    private fun reportStart(job: TrackedJob, part: TrackedPart, status: TaskStatus) {
        val waitMs = status.startedAtMs - job.record.acceptedAtMs
        context.callbacks.onPartStarted(part.workerId, job.jobId, job.kind.name, waitMs)
    }

    private fun succeed(job: TrackedJob, part: TrackedPart, status: TaskStatus) {
        if (part.state == PartState.STARTING) {
            reportStart(job, part, status)
        }
        part.result = PartResult(part.index, part.workerId, status.startedAtMs, status.output)
        part.state = PartState.ENDED
        placer.partEnded(job.jobId, part.index, part.workerId, requeue = false)
        context.callbacks.onPartSucceeded(part.workerId, job.jobId)
        requeuer.endIfComplete(job)
    }

    private fun fail(job: TrackedJob, part: TrackedPart, status: TaskStatus) {
        part.failures++
        context.callbacks.onPartFailed(part.workerId, job.jobId)
        outputs.acknowledge(part.workerId, status.task)
        if (part.failures >= MAX_FAILURES || !job.record.submission.idempotent) {
            requeuer.endEarly(job, part, JobState.FAILED, ResultCode.TASK_FAILED)
        } else {
            requeuer.giveBack(job, part)
        }
    }

    /** Handles a part whose worker was lost, or that its worker stopped because the lease ran out. */
    fun lose(job: TrackedJob, part: TrackedPart, task: TaskId) {
        outputs.acknowledge(part.workerId, task)
        part.mayHaveRun = true
        if (job.record.submission.idempotent) {
            requeuer.giveBack(job, part)
        } else {
            requeuer.endEarly(job, part, JobState.UNKNOWN, ResultCode.LEASE_LOST)
        }
    }

    /** Puts a part that is on no worker any more back into the queue. */
    fun giveBack(job: TrackedJob, part: TrackedPart) = requeuer.giveBack(job, part)

    /** Ends the wait for parts that no worker reported after a takeover. */
    fun settleUnaccounted(job: TrackedJob) = requeuer.settleUnaccounted(job)

    /** Ends a job that can never be placed. */
    fun refuse(job: TrackedJob, code: ResultCode) = requeuer.refuse(job, code)

    /** Cancels a job: pending parts leave the queue at once, running ones are stopped. */
    fun cancel(job: TrackedJob) = requeuer.cancel(job)
}
