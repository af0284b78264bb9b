/** Tables and partitions of the store that hold bronzeshore's own state. */
package dev.bronzeshore.core.cluster

import arrow.core.Either
import dev.bronzeshore.core.WireCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer

/** Names of tables and partitions, and the layout of keys. */
public object Tables {
    /** Rows that only the leader writes share this partition, so that a transaction can require the leader's term. */
    public const val LEADER_PARTITION: String = "lead"

    /** The leader's term and heartbeat. */
    public const val LEADER: String = "leader"
    public val TERM_ROW: RowId = RowId(LEADER, LEADER_PARTITION, "term")
    public val HEARTBEAT_ROW: RowId = RowId(LEADER, LEADER_PARTITION, "beat")

    /** The processes whose majority decides on leases while the store does not confirm the leader's term. */
    public val VOTERS_ROW: RowId = RowId(LEADER, LEADER_PARTITION, "voters")

    /** The workers that decide on leases beside these processes; always written along with them. */
    public val VOTING_WORKERS_ROW: RowId = RowId(LEADER, LEADER_PARTITION, "voting-workers")

    /** The progress of each job that has started; one with many tasks has rows for parts of them beside its own. */
    public const val PROGRESS: String = "progress"

    /** State of the leader besides job progress: roster and speeds of the workers, journal rows, waiting counts. */
    public const val LEADER_STATE: String = "notes"

    /** The first row of the roster, which has as many rows as its workers need. */
    public val ROSTER_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "roster")
    public val SPEEDS_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "speeds")

    /** Each journal write requires its version; a change of it keeps those without a response from applying late. */
    public val JOURNAL_FENCE_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "journal-fence")

    /** Part of each journal write. */
    public val JOURNAL_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "journal")
    public val WAITING_ROW: RowId = RowId(LEADER_STATE, LEADER_PARTITION, "waiting")

    /** Accepted jobs and cancellations, written by any process. */
    public const val INTAKE: String = "intake"

    private const val INTAKE_PARTITION_COUNT = 64
    private const val ROSTER_SEPARATOR = '.'

    /**
     * A partition processes its transactions sequentially. In a slow period of the store each takes 300 ms, so a burst
     * of 60 submissions per second needs more than 18 partitions; with four partitions most submissions were refused.
     */
    public val INTAKE_PARTITIONS: List<String> = List(INTAKE_PARTITION_COUNT) { it.toString() }

    /** Addresses of the processes. */
    public const val NODES: String = "nodes"
    public const val NODES_PARTITION: String = "all"

    /** Sorts after every key that begins with a job id and ends with a printable character. */
    private const val LAST_CHARACTER = "~"
    private const val CANCEL_SUFFIX = ".cancel"

    public fun intakePartitionOf(jobId: String): String =
        INTAKE_PARTITIONS[Math.floorMod(jobId.hashCode(), INTAKE_PARTITIONS.size)]

    public fun acceptedRow(jobId: String, partition: String = intakePartitionOf(jobId)): RowId =
        RowId(INTAKE, partition, jobId)

    public fun cancelRow(jobId: String, partition: String = intakePartitionOf(jobId)): RowId =
        RowId(INTAKE, partition, jobId + CANCEL_SUFFIX)

    /** The job id of a cancellation row, or null for other rows. */
    public fun cancelledJobOf(key: String): String? = key.removeSuffix(CANCEL_SUFFIX).takeIf { it != key }

    public fun rosterRow(number: Int): RowId =
        if (number == 0) ROSTER_ROW else ROSTER_ROW.copy(key = ROSTER_ROW.key + ROSTER_SEPARATOR + number)

    /** The number of a roster row, or null for other rows. */
    public fun rosterNumberOf(id: RowId): Int? = when {
        id.table != LEADER_STATE || id.partition != LEADER_PARTITION -> null
        id == ROSTER_ROW -> 0
        else -> id.key.removePrefix(ROSTER_ROW.key + ROSTER_SEPARATOR).takeIf { it != id.key }?.toIntOrNull()
    }

    public fun progressRow(jobId: String): RowId = RowId(PROGRESS, LEADER_PARTITION, jobId)

    /** The range of exactly the rows of [jobId] in a table whose keys start with job ids. */
    public fun rowsOfJob(table: String, partition: String, jobId: String): RowRangeQuery =
        RowRangeQuery(table, partition, jobId, jobId + LAST_CHARACTER)
}

/** Encodes a row of bronzeshore's own tables. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> encodeRow(serializer: KSerializer<T>, value: T): ByteArray =
    WireCbor.encodeToByteArray(serializer, value)

/** Decodes a row of bronzeshore's own tables; a left result says why it is malformed. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> decodeRow(serializer: KSerializer<T>, bytes: ByteArray): Either<String, T> =
    Either.catch { WireCbor.decodeFromByteArray(serializer, bytes) }.mapLeft { it.message ?: "malformed" }
