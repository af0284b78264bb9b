/** Rows of the intake table beside accepted jobs and cancellations, and the second partition in which they may be. */
package dev.bronzeshore.core.cluster

/** Names of these rows and partitions. */
public object IntakeRows {
    private const val END_SUFFIX = ".end"

    /** Sorts after all job ids. */
    private const val FENCE_KEY = "~fence"

    /** The partition that takes the rows of a job while its own does not respond. */
    public fun alternatePartitionOf(jobId: String): String {
        val number = Math.floorMod(jobId.hashCode() + Tables.INTAKE_PARTITIONS.size / 2, Tables.INTAKE_PARTITIONS.size)
        return Tables.INTAKE_PARTITIONS[number]
    }

    /** The partitions in which rows of a job may be, its own one first. */
    public fun partitionsOf(jobId: String): List<String> =
        listOf(Tables.intakePartitionOf(jobId), alternatePartitionOf(jobId))

    /** The end of a job, stored beside its accepted row while the leader's partition does not respond. */
    public fun endRow(jobId: String, partition: String = Tables.intakePartitionOf(jobId)): RowId =
        RowId(Tables.INTAKE, partition, jobId + END_SUFFIX)

    /** The job id of an end row, or null for other rows. */
    public fun endedJobOf(key: String): String? = key.removeSuffix(END_SUFFIX).takeIf { it != key }

    /** The term of the leader that may write about the jobs of an intake partition. */
    public fun fenceRow(partition: String): RowId = RowId(Tables.INTAKE, partition, FENCE_KEY)

    public fun isFence(id: RowId): Boolean = id.key == FENCE_KEY

    /** The job that a row of the intake table is about. */
    public fun jobOf(key: String): String = key.substringBefore('.')
}
