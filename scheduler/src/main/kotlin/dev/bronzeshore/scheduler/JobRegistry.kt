/** The jobs that the leader knows. Not thread-safe. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ENDED_JOB_BYTES
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.ProgressPart
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.footprintBytes

internal class JobRegistry {
    private val jobs = LinkedHashMap<String, TrackedJob>()
    private val open = LinkedHashMap<String, TrackedJob>()
    private val cancelled = HashSet<String>()

    /** Wall-clock end times of jobs whose end is stored or about to be. */
    private val ended = LinkedHashMap<String, Long>()
    private val storedProgress = HashMap<String, JobProgress>()

    /** The parts of progress that former leaders stored, until the job itself is added. */
    private val storedParts = HashMap<String, MutableList<Pair<RowId, ProgressPart>>>()

    private var openBytes = 0L

    /** Estimated memory for the open jobs and the ends of others. */
    val heldBytes: Long get() = openBytes + ended.size * ENDED_JOB_BYTES

    /** Jobs whose stored rows cannot be decoded: nothing of them is started, and their runs are left alone. */
    private val setAside = HashSet<String>()

    /** Jobs with rows in their alternate partitions. */
    private val inAlternatePartition = HashSet<String>()

    /** Notes that the alternate partition of the job holds rows of it. */
    fun markAlternate(jobId: String) {
        inAlternatePartition += jobId
    }

    fun isInAlternatePartition(jobId: String): Boolean = jobId in inAlternatePartition

    val openJobs: Collection<TrackedJob> get() = open.values
    val allJobs: Collection<TrackedJob> get() = jobs.values

    val memoryUse: MemoryUse
        get() = MemoryUse(jobs.values.sumOf { job -> job.openSteps.sumOf { it.tasks.size } }, heldBytes)

    fun find(jobId: String): TrackedJob? = jobs[jobId]

    fun task(name: TaskName): TrackedTask? = jobs[name.jobId]?.task(name)

    /** Records a job whose end is stored, so that a late message about it does not start it again. */
    fun recordEnded(jobId: String, endedAtMs: Long) {
        ended[jobId] = endedAtMs
    }

    /** Jobs that ended before the wall-clock time [timeMs]. */
    fun endedBefore(timeMs: Long): List<String> = ended.filterValues { it < timeMs }.keys.toList()

    /** Keeps progress that a former leader stored until the job itself is added. */
    fun recordProgress(jobId: String, progress: JobProgress) {
        storedProgress[jobId] = progress
    }

    /** The same for a part of the progress, in the row [id]. */
    fun recordPart(jobId: String, id: RowId, part: ProgressPart) {
        storedParts.getOrPut(jobId) { ArrayList() } += id to part
    }

    /** The rows of parts of a job's progress that are stored or may be. */
    fun partRowsOf(jobId: String): List<RowId> =
        storedParts[jobId].orEmpty().map { it.first } + jobs[jobId]?.progressRows?.partIds.orEmpty()

    /** Forgets rows of parts that have been deleted. */
    fun forgetParts(jobId: String, rows: Collection<RowId>) {
        storedParts.remove(jobId)
        jobs[jobId]?.progressRows?.forget(rows)
    }

    /** The jobs whose ends are stored or about to be, and that have rows of parts. */
    val endedWithParts: List<String> get() = ended.keys.filter { partRowsOf(it).isNotEmpty() }

    fun setAside(jobId: String) {
        setAside += jobId
    }

    fun isSetAside(jobId: String): Boolean = jobId in setAside

    /** Adds an accepted job; returns null if it is known already. */
    fun add(accepted: AcceptedJob, acceptedAtMs: Long, knownAtMs: Long, storedVersion: Long): TrackedJob? {
        jobs[accepted.jobId]?.noteStored(storedVersion)
        if (accepted.jobId in jobs || accepted.jobId in ended || accepted.jobId in setAside) return null
        val job = TrackedJob(accepted, acceptedAtMs, knownAtMs, storedVersion)
        val parts = storedParts.remove(job.id).orEmpty()
        job.restore(storedProgress.remove(job.id), parts.map { it.second })
        parts.forEach { job.progressRows.noteFormer(it.first, it.second.progress.occurrence) }
        jobs[job.id] = job
        if (job.isOpen) {
            open[job.id] = job
            openBytes += job.accepted.description.footprintBytes
        }
        return job
    }

    /** Records a cancellation, which may arrive before its job; returns the job if it is open. */
    fun cancel(jobId: String): TrackedJob? {
        cancelled += jobId
        return jobs[jobId]?.takeIf { it.isOpen }
    }

    fun isEnded(jobId: String): Boolean = jobId in ended

    fun isCancelled(jobId: String): Boolean = jobId in cancelled

    fun close(job: TrackedJob, phase: JobPhase, endedAtMs: Long) {
        job.phase = phase
        job.endedAtMs = endedAtMs
        if (open.remove(job.id) != null) openBytes -= job.accepted.description.footprintBytes
        ended[job.id] = endedAtMs
    }

    /** Removes a job whose rows are deleted. */
    fun forget(jobId: String) {
        jobs.remove(jobId)
        cancelled.remove(jobId)
        ended.remove(jobId)
        storedParts.remove(jobId)
        inAlternatePartition.remove(jobId)
    }

    /** Jobs without a started task, by queue. */
    fun waitingByQueue(): Map<String, Int> =
        open.values.filterNot { it.hasStarted }.groupingBy { it.terms.queue }.eachCount()
}
