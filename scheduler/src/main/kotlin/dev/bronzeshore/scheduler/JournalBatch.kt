/** What one journal write stores, beside the rows that each of them has. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RowWrite

internal class JournalBatch(
    val changes: ChangeBatch,
    val roster: List<RosterRow>,
    val counts: Map<String, Int>?,
    val writes: List<RowWrite>,
)
