/** Jobs that a test submits and tracks until they end. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobState
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.isFinal
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors

private const val ACCEPT_TIMEOUT_MS = 30_000L
private const val HTTP_ACCEPTED = 202

/** A job that was accepted. */
internal class AcceptedJob(val key: String, val submission: JobSubmission, val jobId: String)

/** Every second job is not idempotent. */
internal class JobBatch(private val name: String, private val entries: () -> List<EntryProcess>) {
    private val accepted = ConcurrentLinkedQueue<AcceptedJob>()

    val size: Int get() = accepted.size
    val nonIdempotentJobIds: Set<String>
        get() = accepted.filterNot { it.submission.idempotent }.mapTo(HashSet()) { it.jobId }

    /** Four such jobs use up the plan's allowance in a data centre. */
    private fun submission(dataCentre: String, number: Int) = JobSubmission(
        "seasonPlan",
        Resources(16_000, GIB),
        declaredRunMs = 500,
        dataCentre = dataCentre,
        idempotent = number % 2 == 0,
    )

    /** Submits [count] jobs to each of [dataCentres] concurrently, through all entries in turn. */
    fun submit(dataCentres: Collection<String>, count: Int) {
        val threads = Executors.newFixedThreadPool(maxOf(1, dataCentres.size))
        try {
            dataCentres.map { dataCentre -> threads.submit { repeat(count) { submitOne(dataCentre, it) } } }
                .forEach { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }

    private fun submitOne(dataCentre: String, number: Int) {
        val key = "$name-$dataCentre-$number"
        val submission = submission(dataCentre, number)
        accepted += AcceptedJob(key, submission, submitUntilAccepted(key, submission, number))
    }

    /** Retries the same submission through other entries until one accepts it. */
    private fun submitUntilAccepted(key: String, submission: JobSubmission, number: Int): String {
        var jobId: String? = null
        var attempts = number
        awaitUntil("job $key is accepted", ACCEPT_TIMEOUT_MS) {
            val targets = entries()
            val reply = targets[attempts++ % targets.size].submit(key, submission)
            if (reply.status == HTTP_ACCEPTED) {
                jobId = WireJson.decodeFromString(JobRecord.serializer(), reply.text).jobId
            }
            jobId != null
        }
        return checkNotNull(jobId)
    }

    /** Submits every job again and returns those that got a different id. */
    fun resubmitAll(): List<String> = accepted.withIndex().mapNotNull { (index, job) ->
        val again = submitUntilAccepted(job.key, job.submission, index + 1)
        if (again == job.jobId) null else "${job.key}: ${job.jobId} and $again"
    }

    /** Waits until all accepted jobs have ended; returns those that did not succeed. */
    fun awaitEnds(timeoutMs: Long): List<String> {
        val open = accepted.mapTo(HashSet()) { it.jobId }
        val failedJobs = mutableListOf<String>()
        awaitUntil("all jobs of $name end", timeoutMs) {
            val entry = entries().first()
            open.removeIf { jobId ->
                val record = entry.job(jobId)?.record
                if (record?.state?.isFinal == true && record.state != JobState.SUCCEEDED) {
                    failedJobs += "$jobId ${record.state} ${record.code}"
                }
                record?.state?.isFinal == true
            }
            open.isEmpty()
        }
        return failedJobs
    }
}
