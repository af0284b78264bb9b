/** A row with the progress of consecutive tasks of a step. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.ProgressPart
import dev.bronzeshore.core.cluster.ProgressPartRows
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.encodeRow

internal class ProgressPartRow(private val step: TrackedStep, private val tasks: IntRange) : UnsavedRow {
    val occurrence: Int get() = step.occurrence
    val id: RowId = ProgressPartRows.row(step.job.id, step.occurrence, step.number, tasks.first)
    override val jobId: String get() = step.job.id

    override fun toWrite(): RowWrite {
        val part = ProgressPart(tasks.first, tasks.last, step.progressOf(tasks))
        return RowWrite(id, encodeRow(ProgressPart.serializer(), part))
    }
}
