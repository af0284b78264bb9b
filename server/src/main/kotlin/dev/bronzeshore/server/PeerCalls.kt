/** The calls between bronzeshore processes. */
package dev.bronzeshore.server

import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.JobView
import dev.bronzeshore.ownership.OwnershipHandover
import dev.bronzeshore.ownership.DeputyLeaseResponse
import dev.bronzeshore.ownership.DeputyLeaseRequest
import dev.bronzeshore.peering.CallType
import dev.bronzeshore.requests.AllotmentRequest
import dev.bronzeshore.requests.Allotments
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer

/** A submission on its way to the owner of [dataCentre]. */
@Serializable
internal data class JobForward(
    val dataCentre: String,
    val plan: String,
    val idempotencyKey: String,
    val submission: JobSubmission,
)

/** Names a job at the owner of [dataCentre]. */
@Serializable
internal data class JobQuery(val dataCentre: String, val jobId: String)

/** Asks the owner of [dataCentre] for its open jobs, of one plan or of all. */
@Serializable
internal data class JobListQuery(val dataCentre: String, val plan: String?, val limit: Int)

@Serializable
internal data class JobList(val jobs: List<JobView>)

/** An answer without content. */
@Serializable
internal data class Acknowledged(val done: Boolean = true)

internal object PeerCalls {
    val promise = CallType("promise", DeputyLeaseRequest.serializer(), DeputyLeaseResponse.serializer())
    val handOver = CallType("hand-over", OwnershipHandover.serializer(), Acknowledged.serializer())
    val configurationPush = CallType("configuration-push", Configuration.serializer(), Long.serializer())
    val configurationPull = CallType("configuration-pull", Acknowledged.serializer(), Configuration.serializer())
    val allotments = CallType("allotments", AllotmentRequest.serializer(), Allotments.serializer())
    val jobSubmit = CallType("job-submit", JobForward.serializer(), JobRecord.serializer())
    val jobQuery = CallType("job-query", JobQuery.serializer(), JobView.serializer())
    val jobCancel = CallType("job-cancel", JobQuery.serializer(), JobView.serializer())
    val jobList = CallType("job-list", JobListQuery.serializer(), JobList.serializer())
}
