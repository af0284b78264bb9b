/** Routes job submissions and queries to the owners of data centres. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.isFinal
import dev.bronzeshore.jobs.JobRows

private const val SUBMIT_TIMEOUT_MS = 6_000L
private const val QUERY_TIMEOUT_MS = 2_000L

internal class JobRouter(
    private val gateway: PeerGateway,
    private val local: OwnerService,
    private val table: TableApi,
    private val configuration: () -> Configuration,
) {
    /** Submits to the first data centre that accepts; all attempts use the same job id, so at most one takes effect. */
    suspend fun submit(plan: String, key: String, submission: JobSubmission): Either<Fault, JobRecord> {
        val candidates = candidatesFor(plan, JobRows.jobId(plan, key), submission)
        var last = Fault(ResultCode.OVER_ALLOWANCE, "Plan $plan has no allowance in a data centre that is asked for.")
        for (dataCentre in candidates) {
            val forwarded = ForwardedSubmission(dataCentre, plan, key, submission)
            gateway.callOwner(dataCentre, PeerCalls.jobSubmit, forwarded, SUBMIT_TIMEOUT_MS, local::submit)
                .fold({ last = it }, { return it.right() })
            if (!mayRetryElsewhere(last)) return last.left()
        }
        return last.left()
    }

    private fun candidatesFor(plan: String, jobId: String, submission: JobSubmission): List<String> {
        val allowed = configuration().allowances.filter { it.plan == plan && it.limit.processorsMillicores > 0 }
            .map(Allowance::dataCentre).sorted()
        submission.dataCentre?.let { wanted -> return allowed.filter { it == wanted } }
        if (allowed.isEmpty()) return allowed
        val first = Math.floorMod(jobId.hashCode(), allowed.size)
        return allowed.drop(first) + allowed.take(first)
    }

    private fun mayRetryElsewhere(fault: Fault) =
        fault.code.outcome == Outcome.NOT_RUN && fault.code in RETRYABLE || fault.code == ResultCode.PEER_UNAVAILABLE

    /** State of a job from its row and its owner; a job of another plan is reported as unknown. */
    suspend fun view(jobId: String, plan: String?): Either<Fault, JobView> = locate(jobId, plan).flatMap { record ->
        if (record.state.isFinal) {
            JobView(record).right()
        } else {
            askOwner(jobId, record.dataCentre).fold({ reread(jobId, record) }, { it }).right()
        }
    }

    private suspend fun askOwner(jobId: String, dataCentre: String): Either<Fault, JobView> {
        val query = JobQuery(dataCentre, jobId)
        return gateway.callOwner(dataCentre, PeerCalls.jobQuery, query, QUERY_TIMEOUT_MS) { local.status(it) }
    }

    /** Reads the row again: either the job ended since the first read or its data centre is being taken over. */
    private suspend fun reread(jobId: String, record: JobRecord): JobView {
        val latest = table.read(JobRows.jobKey(jobId)).getOrNull()?.let { JobRows.parse(it) } ?: record
        return JobView(latest, if (latest.state.isFinal) null else "its data centre is being taken over")
    }

    suspend fun cancel(jobId: String, plan: String?): Either<Fault, JobView> = locate(jobId, plan).flatMap { record ->
        if (record.state.isFinal) return JobView(record).right()
        val query = JobQuery(record.dataCentre, jobId)
        gateway.callOwner(record.dataCentre, PeerCalls.jobCancel, query, QUERY_TIMEOUT_MS) { local.cancel(it) }
    }

    /** Open jobs of all data centres whose owners respond. */
    suspend fun list(plan: String?, limit: Int): List<JobView> =
        configuration().allowances.map { it.dataCentre }.distinct()
            .flatMap { dataCentre ->
                val query = JobListQuery(dataCentre, plan, limit)
                gateway.callOwner(dataCentre, PeerCalls.jobList, query, QUERY_TIMEOUT_MS) { local.list(it) }
                    .fold({ emptyList() }, { it.jobs })
            }.take(limit)

    /** Reads the job's row, or asks the owners for open jobs while the table service is down. */
    private suspend fun locate(jobId: String, plan: String?): Either<Fault, JobRecord> {
        val found = table.read(JobRows.jobKey(jobId)).fold(
            { fault -> askAllOwners(jobId)?.right() ?: fault.left() },
            { row -> row?.let { JobRows.parse(it) }.right() },
        )
        return found.flatMap { record ->
            record?.takeIf { plan == null || it.plan == plan }?.right()
                ?: Fault(ResultCode.UNKNOWN_JOB, "There is no job $jobId.", "id").left()
        }
    }

    private suspend fun askAllOwners(jobId: String): JobRecord? =
        configuration().allowances.map { it.dataCentre }.distinct()
            .firstNotNullOfOrNull { dataCentre -> askOwner(jobId, dataCentre).getOrNull()?.record }

    private companion object {
        /** Codes after which another data centre is tried. */
        val RETRYABLE = setOf(
            ResultCode.FITS_NOWHERE,
            ResultCode.OVER_ALLOWANCE,
            ResultCode.NOT_OWNER,
            ResultCode.STOPPING,
        )
    }
}
