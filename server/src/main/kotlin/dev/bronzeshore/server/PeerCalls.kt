/** Types and messages of the calls between bronzeshore processes. */
package dev.bronzeshore.server

import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.JobView
import dev.bronzeshore.ownership.DeputyLeaseRequest
import dev.bronzeshore.ownership.DeputyLeaseResponse
import dev.bronzeshore.ownership.OwnershipHandover
import dev.bronzeshore.peering.CallType
import dev.bronzeshore.requests.AllotmentRequest
import dev.bronzeshore.requests.Allotments
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer

/** A submission that is forwarded to the owner of [dataCentre]. */
@Serializable
internal data class ForwardedSubmission(
    val dataCentre: String,
    val plan: String,
    val idempotencyKey: String,
    val submission: JobSubmission,
)

/** Identifies a job for the owner of [dataCentre]. */
@Serializable
internal data class JobQuery(val dataCentre: String, val jobId: String)

/** Query for the open jobs of [dataCentre], of one plan or of all plans. */
@Serializable
internal data class JobListQuery(val dataCentre: String, val plan: String?, val limit: Int)

@Serializable
internal data class JobList(val jobs: List<JobView>)

/** An empty request or response. */
@Serializable
internal data class Acknowledged(val done: Boolean = true)

internal object PeerCalls {
    val deputyLease = CallType("promise", DeputyLeaseRequest.serializer(), DeputyLeaseResponse.serializer())
    val handover = CallType("hand-over", OwnershipHandover.serializer(), Acknowledged.serializer())
    val configurationPush = CallType("configuration-push", Configuration.serializer(), Long.serializer())
    val configurationPull = CallType("configuration-pull", Acknowledged.serializer(), Configuration.serializer())
    val allotments = CallType("allotments", AllotmentRequest.serializer(), Allotments.serializer())
    val jobSubmit = CallType("job-submit", ForwardedSubmission.serializer(), JobRecord.serializer())
    val jobQuery = CallType("job-query", JobQuery.serializer(), JobView.serializer())
    val jobCancel = CallType("job-cancel", JobQuery.serializer(), JobView.serializer())
    val jobList = CallType("job-list", JobListQuery.serializer(), JobList.serializer())
}
