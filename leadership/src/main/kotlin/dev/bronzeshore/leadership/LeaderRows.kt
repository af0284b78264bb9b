/** Rows of the store through which the processes elect a leader. */
package dev.bronzeshore.leadership

import kotlinx.serialization.Serializable

/** Changes only when leadership changes; every write of a leader is conditional on the version of this row. */
@Serializable
internal data class TermRow(val term: Long, val processName: String, val bootId: String, val peerAddress: String)

/** The leader's heartbeat; [isReleased] is true if the leader has given up its term. */
@Serializable
internal data class HeartbeatRow(val term: Long, val number: Long, val isReleased: Boolean = false)

/** The processes that vote on leases, by name; only the leader writes them, under its term. */
@Serializable
internal data class VotersRow(val term: Long, val processNames: List<String>)

/** The workers that vote on leases; they count if they were written together with the processes. */
@Serializable
internal data class VotingWorkersRow(val workers: List<WorkerVoter>)

/** A worker incarnation that votes on leases. */
@Serializable
internal data class WorkerVoter(val workerId: String, val startedAtMs: Long)

/** The leader as this process last observed it. */
public data class KnownLeader(public val term: Long, public val processName: String, public val peerAddress: String)

/** A term held by this process; all writes of the leader are conditional on [termRowVersion]. */
public data class LeaderTerm(public val term: Long, public val termRowVersion: Long)
