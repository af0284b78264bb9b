/**
 * The row by which a journal write without a response is kept from taking effect after a later one.
 *
 * Each journal write requires its version, and the write that follows one without a response changes it. Other writes
 * leave it as it is: the answer to a change may name a later version than that of the row, and then the next write is
 * refused, which tells the version. Not thread-safe.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables

internal class JournalFence {
    private var version = 0L

    /** Latest version that a write without a response requires; null if no write can take effect late. */
    private var openWriteVersion: Long? = null

    /** What the next journal write requires. */
    val condition: RowCondition get() = RowCondition(Tables.JOURNAL_FENCE_ROW, version)

    /** The change that the next journal write has to make, or null. */
    val dueChange: RowWrite?
        get() = RowWrite(Tables.JOURNAL_FENCE_ROW, ByteArray(0)).takeIf { openWriteVersion != null }

    /** Continues from the rows that a former leader left. */
    fun adopt(rows: List<StoredRow>) {
        version = versionIn(rows)
    }

    /** Notes the outcome of a write that required [condition] and made [change]. */
    fun record(outcome: StoreOutcome, change: RowWrite?) {
        when (outcome) {
            is StoreOutcome.Applied -> if (change != null) {
                version = outcome.version
                openWriteVersion = null
            }

            is StoreOutcome.Conflict -> {
                version = versionIn(outcome.rows)
                openWriteVersion = openWriteVersion?.takeIf { it >= version }
            }

            is StoreOutcome.Unknown -> openWriteVersion = maxOf(openWriteVersion ?: 0, version)

            is StoreOutcome.NotApplied -> Unit
        }
    }

    private fun versionIn(rows: List<StoredRow>) = rows.firstOrNull { it.id == Tables.JOURNAL_FENCE_ROW }?.version ?: 0
}
