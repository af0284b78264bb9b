/** Rows by which processes agree on the leader. */
package dev.bronzeshore.leadership

import kotlinx.serialization.Serializable

/** Changes only when leadership passes; every write of a leader requires the version of this row. */
@Serializable
internal data class TermRow(val term: Long, val processName: String, val bootId: String, val peerAddress: String)

/** The leader's sign of life; [isReleased] says that the leader has given up its term. */
@Serializable
internal data class BeatRow(val term: Long, val number: Long, val isReleased: Boolean = false)

/** Who leads, as this process knows it. */
public data class KnownLeader(public val term: Long, public val processName: String, public val peerAddress: String)

/** A term as its leader holds it; [termRowVersion] is the condition of the leader's writes. */
public data class LeaderTerm(public val term: Long, public val termRowVersion: Long)
