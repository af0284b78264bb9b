/** Ends of runs of one job that this leader has kept, in rows of limited size. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.KeptEnd
import dev.bronzeshore.core.cluster.KeptEndRows
import dev.bronzeshore.core.cluster.KeptEnds
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.encodeRow

/** Ends in one row. A transaction holds up to 1 MB, so 90 rows with as many ends as this fit. */
private const val MAX_ENDS_IN_ROW = 50

internal class KeptEndsOfJob(private val jobId: String, private val term: Long) {
    private val written = ArrayList<KeptEndsRow>()

    /** Adds an end; returns the row that has changed. */
    fun add(end: KeptEnd): UnsavedRow {
        if (written.lastOrNull()?.isFull !=
            false
        ) {
            written += KeptEndsRow(KeptEndRows.row(jobId, term, written.size), jobId)
        }
        return written.last().also { it.add(end) }
    }

    val rows: List<RowId> get() = written.map { it.id }

    private class KeptEndsRow(val id: RowId, override val jobId: String) : UnsavedRow {
        private val ends = ArrayList<KeptEnd>()
        val isFull: Boolean get() = ends.size >= MAX_ENDS_IN_ROW

        fun add(end: KeptEnd) {
            ends += end
        }

        override fun toWrite() = RowWrite(id, encodeRow(KeptEnds.serializer(), KeptEnds(ends.toList())))
    }
}
