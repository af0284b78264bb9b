/** Notes which calls to the store have shown that a term was still held when they were sent. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.Tables

/** Times are of [elapsedClock], which includes suspensions. */
public class HeldTermMonitor(private val elapsedClock: ClockMs) {
    private var termRowVersion = 0L
    private var shownAtMs = 0L

    /** Wraps [store]: a transaction that required the term row, or a read of it, shows the term. */
    public fun monitor(store: ClusterStore): ClusterStore = ClusterStore(
        transact = { transaction ->
            val sentAtMs = elapsedClock()
            val required = transaction.conditions.firstOrNull { it.id == Tables.TERM_ROW }
            store.transact(transaction).also { outcome ->
                if (required != null && outcome is StoreOutcome.Applied) note(required.version, sentAtMs)
            }
        },
        readPage = { query ->
            val sentAtMs = elapsedClock()
            store.readPage(query).onRight { page ->
                page.rows.firstOrNull { it.id == Tables.TERM_ROW }?.let { note(it.version, sentAtMs) }
            }
        },
        changes = store.changes,
    )

    /** When the last call was sent that showed the term with this version of its row; null if there was none. */
    @Synchronized
    public fun shownAtMs(termRowVersion: Long): Long? = shownAtMs.takeIf { termRowVersion == this.termRowVersion }

    @Synchronized
    private fun note(version: Long, sentAtMs: Long) {
        if (version < termRowVersion) return
        shownAtMs = if (version == termRowVersion) maxOf(shownAtMs, sentAtMs) else sentAtMs
        termRowVersion = version
    }
}
