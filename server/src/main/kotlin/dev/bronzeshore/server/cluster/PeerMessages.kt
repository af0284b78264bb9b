/** Messages and call types between the processes of a cluster. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.AdviceTicket
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.StepName
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.peering.CallType
import kotlinx.serialization.Serializable

@Serializable
internal data class AdviceRequest(val jobId: String, val occurrence: Int, val step: Int, val workerIds: List<String>) {
    val stepName: StepName get() = StepName(jobId, occurrence, step)
}

/** [tickets] holds worker ids and tickets alternately; it is null if the advice service did not respond. */
@Serializable
internal data class AdviceReply(val tickets: List<String>?) {
    fun toTickets(): List<AdviceTicket>? = tickets?.chunked(2)?.map { (worker, ticket) -> AdviceTicket(worker, ticket) }

    companion object {
        fun of(tickets: List<AdviceTicket>?) = AdviceReply(tickets?.flatMap { listOf(it.workerId, it.ticket) })
    }
}

@Serializable
internal data class JobRequest(val jobId: String)

@Serializable
internal data class CancelReply(val isStored: Boolean)

@Serializable
internal data class CountRequest(val queue: String)

@Serializable
internal data class CountReply(val count: Int?)

@Serializable
internal data class ConfigRequest(val knownVersion: Long)

/**
 * [content] is the configuration as the operators wrote it, or null if the called process has no newer one.
 *
 * [provenAgeMs] is the age of the called process's proof that its configuration is the newest one, or null without one.
 */
@Serializable
internal class ConfigReply(val content: ByteArray?, val provenAgeMs: Long? = null)

@Serializable
internal data class WatchRequest(val holdMs: Long)

/** [allowanceBytes] is the memory for jobs that the called process may use; null if the leader cannot tell. */
@Serializable
internal data class WatchReply(val isLeading: Boolean, val allowanceBytes: Long? = null)

/** Asks the leader for memory for a job that is about to be stored. */
@Serializable
internal data class ReserveRequest(val jobId: String, val bytes: Long)

/** [isReserved] is null if the called process does not lead or does not know how much is free. */
@Serializable
internal data class ReserveReply(val isReserved: Boolean?)

/** [phase] is null if the leader does not know the job. */
@Serializable
internal data class PhaseReply(val phase: JobPhase?)

@Serializable
internal data class HandoverRequest(val term: Long)

@Serializable
internal data class HandoverReply(val isTaken: Boolean)

@Serializable
internal data class AnnounceReply(val isTaken: Boolean)

/** Names the leader's term and the asked process, as another one may have its address by now. */
@Serializable
internal data class TermRequest(val term: Long, val voter: String)

/** [hasVoted] is true if the called process knows of no later term. */
@Serializable
internal data class VoteReply(val hasVoted: Boolean)

/** [hasPromised] is true once the called process votes for earlier terms no more. */
@Serializable
internal data class RevokeReply(val hasPromised: Boolean)

internal val VOTE_CALL = CallType("vote", TermRequest.serializer(), VoteReply.serializer())
internal val REVOKE_CALL = CallType("revoke", TermRequest.serializer(), RevokeReply.serializer())
internal val ANNOUNCE_CALL = CallType("announce", AcceptedJob.serializer(), AnnounceReply.serializer())
internal val RESERVE_CALL = CallType("reserve", ReserveRequest.serializer(), ReserveReply.serializer())
internal val WATCH_CALL = CallType("watch", WatchRequest.serializer(), WatchReply.serializer())
internal val PHASE_CALL = CallType("phase", JobRequest.serializer(), PhaseReply.serializer())
internal val HANDOVER_CALL = CallType("handover", HandoverRequest.serializer(), HandoverReply.serializer())
internal val ADVICE_CALL = CallType("advice", AdviceRequest.serializer(), AdviceReply.serializer())
internal val SUBMIT_CALL = CallType("submit", AcceptedJob.serializer(), SubmitAnswer.serializer())
internal val STATE_CALL = CallType("state", JobRequest.serializer(), StateAnswer.serializer())
internal val CANCEL_CALL = CallType("cancel", JobRequest.serializer(), CancelReply.serializer())
internal val COUNT_CALL = CallType("count", CountRequest.serializer(), CountReply.serializer())
internal val CONFIG_CALL = CallType("config", ConfigRequest.serializer(), ConfigReply.serializer())
