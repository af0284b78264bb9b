/** Stored ends of runs whose jobs have rows that cannot be decoded. */
package dev.bronzeshore.core.cluster

import kotlinx.serialization.Serializable

/** The end of a run, as the worker [workerId] has reported it under [number]. */
@Serializable
public data class KeptEnd(
    public val workerId: String,
    public val number: Long,
    public val occurrence: Int,
    public val step: Int,
    public val index: Int,
    public val run: Long,
    public val kind: EndKind,
    public val checkpoint: String? = null,
)

/** Some ends of the runs of one job. */
@Serializable
public data class KeptEnds(public val ends: List<KeptEnd>)

/** Names of the rows with such ends. */
public object KeptEndRows {
    private const val PREFIX = "ends."

    /** Each term writes rows of its own, so that no leader overwrites ends that it cannot decode. */
    public fun row(jobId: String, term: Long, number: Int): RowId =
        RowId(Tables.LEADER_STATE, Tables.LEADER_PARTITION, "$PREFIX$jobId.$term.$number")

    /** The job whose ends the row has, or null for other rows. */
    public fun jobOf(key: String): String? = key.removePrefix(PREFIX).takeIf { it != key }?.substringBefore('.')
}
