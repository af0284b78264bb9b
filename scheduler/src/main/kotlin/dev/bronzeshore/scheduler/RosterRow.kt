/** One row of the stored roster. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RosterWorker
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.WorkerRosterRow
import dev.bronzeshore.core.cluster.encodeRow

internal class RosterRow(val number: Int, val workers: Set<RosterWorker>) {
    fun toWrite() =
        RowWrite(Tables.rosterRow(number), encodeRow(WorkerRosterRow.serializer(), WorkerRosterRow(workers.toList())))
}
