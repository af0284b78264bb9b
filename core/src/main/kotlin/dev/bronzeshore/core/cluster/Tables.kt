/** Tables and parts of the store that hold bronzeshore's own state. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.WireCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer

/** Names of tables and parts, and the layout of keys. */
public object Tables {
    /** Rows that only the leader writes share this part, so that a transaction can require the leader's term. */
    public const val LEADER_PARTITION: String = "lead"

    /** Who leads, and the leader's sign of life. */
    public const val LEADER: String = "leader"
    public val TERM_ROW: RowId = RowId(LEADER, LEADER_PARTITION, "term")
    public val HEARTBEAT_ROW: RowId = RowId(LEADER, LEADER_PARTITION, "beat")

    /** The progress of each job that has started. */
    public const val PROGRESS: String = "progress"

    /** Workers that may run tasks, and numbers that callers ask for. */
    public const val LEADER_STATE: String = "notes"
    public val ROSTER_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "roster")
    public val SPEEDS_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "speeds")

    /** Its version changes with each write of the journal, so that one without an answer cannot take effect later. */
    public val JOURNAL_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "journal")
    public val WAITING_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "waiting")

    /** Accepted jobs and cancellations; any process writes here. */
    public const val INTAKE: String = "intake"

    private const val INTAKE_PARTITION_COUNT = 64

    /**
     * A part handles its transactions one after another. In a slow spell of the store each takes 300 ms, so the 60
     * submissions a second of a burst need more than 18 parts; four parts refused most of them.
     */
    public val INTAKE_PARTITIONS: List<String> = List(INTAKE_PARTITION_COUNT) { it.toString() }

    /** Addresses of the processes. */
    public const val NODES: String = "nodes"
    public const val NODES_PARTITION: String = "all"

    /** Sorts after every key that begins with a job id and ends with a printable character. */
    private const val LAST_CHARACTER = "~"
    private const val CANCEL_SUFFIX = ".cancel"

    public fun intakePartitionOf(jobId: String): String = INTAKE_PARTITIONS[Math.floorMod(jobId.hashCode(), INTAKE_PARTITIONS.size)]

    public fun acceptedRow(jobId: String): RowId = RowId(INTAKE, intakePartitionOf(jobId), jobId)

    public fun cancelRow(jobId: String): RowId = RowId(INTAKE, intakePartitionOf(jobId), jobId + CANCEL_SUFFIX)

    /** The job that a cancellation row names, or null for other rows. */
    public fun cancelledJobOf(key: String): String? = key.removeSuffix(CANCEL_SUFFIX).takeIf { it != key }

    public fun progressRow(jobId: String): RowId = RowId(PROGRESS, LEADER_PARTITION, jobId)

    /** The range that holds exactly the rows of [jobId] in a table keyed by job. */
    public fun rowsOfJob(table: String, partition: String, jobId: String): RowRangeQuery =
        RowRangeQuery(table, partition, jobId, jobId + LAST_CHARACTER)
}

/** Encodes a row of bronzeshore's own. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> encodeRow(serializer: KSerializer<T>, value: T): ByteArray =
    WireCbor.encodeToByteArray(serializer, value)

/** Decodes a row of bronzeshore's own; throws [IllegalArgumentException] if it is malformed. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> decodeRow(serializer: KSerializer<T>, bytes: ByteArray): T =
    WireCbor.decodeFromByteArray(serializer, bytes)
