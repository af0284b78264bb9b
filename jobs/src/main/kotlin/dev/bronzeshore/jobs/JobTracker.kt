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

/** Failed attempts of one part after which its job ends as failed. */
private const val MAX_FAILURES = 3

/** Actions of the tracker on workers and on the journal. */
internal class TrackerOutputs(
    /** Sends an order to the worker with the next call. */
    val sendOrder: (workerId: String, order: TaskOrder) -> Unit,
    /** Tells the worker that it may discard an ended task. */
    val acknowledge: (workerId: String, task: TaskId) -> Unit,
    /** Records that a part is on a worker. */
    val onAssigned: (workerId: String, job: TrackedJob, part: TrackedPart) -> Unit,
    /** Writes the final state of a job. */
    val endJob: (job: TrackedJob, state: JobState, code: ResultCode) -> Unit,
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

    /** Processes the status of one task in a worker's report. */
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

    /** Stops a running task that belongs to no current attempt, or acknowledges an ended one. */
    private fun discard(workerId: String, status: TaskStatus) {
        if (status.state == TaskState.RUNNING) {
            outputs.sendOrder(workerId, TaskOrder(status.task, TaskAction.STOP))
        } else {
            outputs.acknowledge(workerId, status.task)
        }
    }

    /** Adopts a task that another owner started, or that was handled as lost and still runs. */
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
        outputs.onAssigned(workerId, job, part)
        advance(job, part, status)
    }

    private fun advance(job: TrackedJob, part: TrackedPart, status: TaskStatus) {
        if (status.state != TaskState.REFUSED) part.mayHaveRun = true
        when (status.state) {
            TaskState.RUNNING -> confirmRunning(job, part, status)
            TaskState.SUCCEEDED -> succeed(job, part, status)
            TaskState.FAILED -> fail(job, part, status)
            TaskState.LEASE_EXPIRED -> onPartLost(job, part, status.task)
            TaskState.STOPPED, TaskState.CHECKPOINTED, TaskState.REFUSED -> {
                outputs.acknowledge(part.workerId, status.task)
                requeuer.requeue(job, part)
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
        if (job.isCancelled) outputs.sendOrder(part.workerId, TaskOrder(status.task, TaskAction.STOP))
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
            requeuer.requeue(job, part)
        }
    }

    /** Handles a part whose worker was lost, or that its worker stopped because the lease expired. */
    fun onPartLost(job: TrackedJob, part: TrackedPart, task: TaskId) {
        outputs.acknowledge(part.workerId, task)
        part.mayHaveRun = true
        if (job.record.submission.idempotent) {
            requeuer.requeue(job, part)
        } else {
            requeuer.endEarly(job, part, JobState.UNKNOWN, ResultCode.LEASE_LOST)
        }
    }

    /** Requeues a part that is no longer on a worker. */
    fun requeue(job: TrackedJob, part: TrackedPart) = requeuer.requeue(job, part)

    /** Requeues the parts that no worker reported after a takeover. */
    fun requeueUnaccounted(job: TrackedJob) = requeuer.requeueUnaccounted(job)

    /** Ends a job that can never be placed. */
    fun refuse(job: TrackedJob, code: ResultCode) = requeuer.refuse(job, code)

    /** Cancels a job: pending parts leave the queue at once, running ones are stopped. */
    fun cancel(job: TrackedJob) = requeuer.cancel(job)
}
