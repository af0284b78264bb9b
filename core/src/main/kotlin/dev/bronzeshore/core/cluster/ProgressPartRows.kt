/** Names of the rows with the progress of some tasks of a job. */
package dev.bronzeshore.core.cluster

/** Keys of these rows begin with the job's id, and sort after the row of the job itself. */
public object ProgressPartRows {
    private const val INFIX = ".part."

    /** The row for the tasks of a step from [first] on, by index. */
    public fun row(jobId: String, occurrence: Int, step: Int, first: Int): RowId =
        Tables.progressRow("$jobId$INFIX$occurrence.$step.$first")

    /** The job of such a row, or null for other rows. */
    public fun jobOf(key: String): String? = key.substringBefore(INFIX, missingDelimiterValue = "").ifEmpty { null }

    /** The range of the job's own progress row, without these rows. */
    public fun rangeWithout(jobId: String): RowRangeQuery =
        RowRangeQuery(Tables.PROGRESS, Tables.LEADER_PARTITION, jobId, jobId + INFIX)
}
