/** Answers calls about the data centres that this process owns; all on the control thread. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.PartLocation
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.jobs.JobStatus
import dev.bronzeshore.ownership.OwnershipHandover
import dev.bronzeshore.ownership.DeputyLeaseResponse
import dev.bronzeshore.ownership.DeputyLeaseRequest
import dev.bronzeshore.requests.AllotmentRequest
import dev.bronzeshore.requests.Allotments

internal class OwnerService(private val supervisors: DataCentres) {
    fun promise(request: DeputyLeaseRequest): Either<Fault, DeputyLeaseResponse> =
        supervisors.find(request.dataCentre).map { it.ownership.onDeputyLeaseRequest(request) }

    suspend fun handOver(message: OwnershipHandover): Either<Fault, Acknowledged> = supervisors.find(message.dataCentre).map {
        it.ownership.onHandover(message)
        Acknowledged()
    }

    fun allot(request: AllotmentRequest): Either<Fault, Allotments> =
        supervisors.find(request.dataCentre).flatMap { it.ledger }.map { it.answer(request) }

    suspend fun submit(forward: JobForward): Either<Fault, JobRecord> =
        supervisors.find(forward.dataCentre).flatMap { it.jobs }
            .flatMap { it.submit(forward.plan, forward.idempotencyKey, forward.submission) }

    fun status(query: JobQuery): Either<Fault, JobView> = supervisors.find(query.dataCentre).flatMap { it.jobs }
        .flatMap { jobs -> jobs.status(query.jobId)?.toView()?.right() ?: notOpen(query).left() }

    fun cancel(query: JobQuery): Either<Fault, JobView> = supervisors.find(query.dataCentre).flatMap { it.jobs }
        .flatMap { jobs -> jobs.cancel(query.jobId)?.toView()?.right() ?: notOpen(query).left() }

    fun list(query: JobListQuery): Either<Fault, JobList> =
        supervisors.find(query.dataCentre).flatMap { it.jobs }.map { jobs ->
            val open = jobs.list(Int.MAX_VALUE).asSequence().filter {
                query.plan == null || it.record.plan == query.plan
            }
            JobList(open.take(query.limit).map { it.toView() }.toList())
        }

    private fun notOpen(query: JobQuery) =
        Fault(ResultCode.UNKNOWN_JOB, "Job ${query.jobId} is not open in data centre ${query.dataCentre}.")
}

private fun JobStatus.toView() = JobView(
    record = record,
    waitReason = waitReason,
    running = running.map { PartLocation(it.part, it.workerId, it.startedAtMs) },
)
