/**
 * Decides whether a job may be stored: all accepted jobs must fit in the memory of a leader, also of the next one.
 *
 * The load it answers: callers hand in more jobs than can run, each of them small enough by itself. The leader grants
 * each process an allowance, which the process uses without a call. A job beyond it needs a reservation from the
 * leader. An allowance is replaced by the next one and never added to it, so nothing has to be returned after a failure
 * of either side. Not thread-safe.
 */
package dev.bronzeshore.intake

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.core.cluster.footprintBytes

/** Allowance of a process that has not heard of a leader since its start: the submissions of some seconds. */
internal const val INITIAL_ALLOWANCE_BYTES: Long = 256L shl 10

/** The leader knows an accepted job within this time, and counts it in the allowances that it grants. */
internal const val LEADER_KNOWS_AFTER_MS: Long = 5_000L

/** Memory becomes free as jobs end. */
private const val MEMORY_RETRY_AFTER_MS = 5_000L

/** A takeover takes one or two seconds. */
private const val LEADER_RETRY_AFTER_MS = 2_000L

private data class AdmittedJob(val jobId: String, val bytes: Long, val atMs: Long)

public class JobAdmission(
    private val clock: ClockMs,
    /** Asks the leader for memory in bytes for the job of that id; null without an answer. */
    private val reserve: suspend (jobId: String, bytes: Long) -> Boolean?,
    private val stateOf: suspend (jobId: String) -> StateAnswer,
) {
    private val log = EventLog("intake")
    private var allowanceBytes = INITIAL_ALLOWANCE_BYTES

    /** Jobs that the allowance does not count yet. */
    private val admitted = ArrayDeque<AdmittedJob>()

    /** Replaces the allowance by a newer one. */
    public fun updateAllowance(bytes: Long) {
        allowanceBytes = bytes
        while (admitted.isNotEmpty() && clock() - admitted.first().atMs > LEADER_KNOWS_AFTER_MS) admitted.removeFirst()
    }

    /** Returns null if the job may be stored, otherwise the answer for its caller. */
    public suspend fun refusalOf(job: AcceptedJob): SubmitAnswer? {
        val bytes = job.description.footprintBytes
        if (admitted.sumOf { it.bytes } + bytes <= allowanceBytes) {
            admitted += AdmittedJob(job.jobId, bytes, clock())
            return null
        }
        val refusal = when (reserve(job.jobId, bytes)) {
            true -> return null
            false -> SubmitAnswer.Rejected(
                ResultCode.MEMORY_FULL,
                "the open jobs take all memory",
                MEMORY_RETRY_AFTER_MS,
            )
            null -> SubmitAnswer.Rejected(ResultCode.NO_LEADER, "no leader can be asked", LEADER_RETRY_AFTER_MS)
        }
        return answerUnlessStored(job, bytes, refusal)
    }

    /** Returns the memory of a job that was not stored. */
    public fun release(job: AcceptedJob) {
        admitted.indexOfLast { it.jobId == job.jobId }.takeIf { it >= 0 }?.let { admitted.removeAt(it) }
    }

    /** An earlier attempt of the caller may have been accepted; then the job runs and must not be rejected. */
    private suspend fun answerUnlessStored(
        job: AcceptedJob,
        bytes: Long,
        refusal: SubmitAnswer.Rejected,
    ): SubmitAnswer? {
        val answer = when (stateOf(job.jobId)) {
            is StateAnswer.Found -> return null
            is StateAnswer.NoSuchJob -> refusal
            is StateAnswer.Unavailable -> SubmitAnswer.Unknown("it is not known whether the job is stored already")
        }
        log.event(
            "memory_refused",
            "job" to job.jobId,
            "queue" to job.terms.queue,
            "bytes" to bytes,
            "allowance_bytes" to allowanceBytes,
            "outcome" to answer,
        )
        return answer
    }
}
