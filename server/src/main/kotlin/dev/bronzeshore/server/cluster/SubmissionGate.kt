/** Admits jobs to the store, and grants memory for jobs to the other processes while this one leads. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.intake.JobAdmission
import dev.bronzeshore.scheduler.LeaderTermRunner

/** Confined to the control thread. */
internal class SubmissionGate(
    clock: ClockMs,
    private val jobs: JobRequestForwarder,
    /** The leader's work if this process leads. */
    private val runner: () -> LeaderTermRunner?,
    /** Number of the processes that accept jobs. */
    private val processCount: () -> Int,
    private val reserveAtLeader: suspend (ReserveRequest) -> Boolean?,
) {
    private val admission = JobAdmission(clock, ::reserve, jobs::stateOf)

    /** Memory in bytes that each process may use without asking; null if this process cannot tell. */
    val grantedBytes: Long? get() = runner()?.allowanceBytes?.let { it / processCount() }

    /** Takes the allowance that the leader has granted. */
    fun updateAllowance(bytes: Long) = admission.updateAllowance(bytes)

    /** Answers another process; null if this one does not lead or does not know how much is free. */
    fun reserveHere(request: ReserveRequest): Boolean? = runner()?.reserveMemory(request.jobId, request.bytes)

    suspend fun submit(job: AcceptedJob): SubmitAnswer {
        grantedBytes?.let { updateAllowance(it) }
        admission.refusalOf(job)?.let { return it }
        val answer = jobs.submit(job)
        if (answer is SubmitAnswer.Rejected) admission.release(job)
        return answer
    }

    private suspend fun reserve(jobId: String, bytes: Long): Boolean? {
        val request = ReserveRequest(jobId, bytes)
        return if (runner() != null) reserveHere(request) else reserveAtLeader(request)
    }
}
