/** State that the journal stores as one row. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RowWrite

internal interface UnsavedRow {
    /** The job to which the row belongs. */
    val jobId: String

    /** The row with the current state. */
    fun toWrite(): RowWrite
}
