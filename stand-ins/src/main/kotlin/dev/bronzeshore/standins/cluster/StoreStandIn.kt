/** In-memory transactional store with fault injection, on the virtual time of a test. Not thread-safe. */
package dev.bronzeshore.standins.cluster

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.cluster.ChangePage
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowPage
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.StoredRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

private const val FEED_POLL_PERIOD_MS = 5L

/** Timeout of a caller for a call without a response. */
private const val CALL_TIMEOUT_MS = 600L

/** Longest timeout of a change feed call beyond its wait time; callers use it after an outage. */
private const val FEED_TIMEOUT_MARGIN_MS = 2_200L

public class StoreStandIn(
    private val random: Random,
    private val scope: CoroutineScope,
    /** The store's steady clock; null if answers do not tell it. */
    private val clock: () -> Long? = { null },
) {
    public val faults: StoreFaults = StoreFaults()
    private val rows = HashMap<RowId, StoredRow>()
    private val historyByTable = HashMap<String, ArrayList<StoredRow>>()
    private var version = 0L

    /** Number of calls and of faults in calls, by kind. */
    public val calls: MutableMap<String, Int> = HashMap()

    /** Returns the store client of the process [caller]. */
    public fun clientFor(caller: String): ClusterStore = ClusterStore(
        transact = { transact(caller, it) },
        readPage = { readPage(caller, it) },
        changes = { table, after, waitMs -> changes(caller, table, after, waitMs) },
    )

    /** The version of the last transaction. */
    public val newestVersion: Long get() = version

    /** Returns the current value of a row without a simulated call. */
    public fun valueOf(id: RowId): ByteArray? = rows[id]?.value

    /** Returns all current rows of a table without a simulated call. */
    public fun rowsOf(table: String): List<StoredRow> = rows.values.filter { it.id.table == table && it.value != null }

    private fun isRefused(caller: String) = faults.isDown || caller in faults.refusedCallers

    private fun isTooLarge(transaction: StoreTransaction) =
        transaction.writes.any { it.value.size > faults.maxValueBytes } ||
            transaction.writes.sumOf { it.value.size } > faults.maxTransactionBytes

    private fun latencyMsOf(caller: String) = faults.latencyMsOf[caller] ?: faults.latencyMs

    private fun isSilent(caller: String, partition: String) = partition in faults.silentPartitions[caller].orEmpty()

    private suspend fun transact(caller: String, transaction: StoreTransaction): StoreOutcome {
        calls.merge("transact", 1, Int::plus)
        delay(latencyMsOf(caller) / 2)
        val isContentRefused = isTooLarge(transaction) || transaction.writes.any { faults.isRowRefused(it.id) }
        if (isRefused(caller) || isContentRefused) {
            return StoreOutcome.NotApplied("refused", isContentRefused && !isRefused(caller))
        }
        val partitions = (transaction.writes.map { it.id } + transaction.deletes + transaction.conditions.map { it.id })
        if (partitions.any { isSilent(caller, it.partition) }) {
            delay(CALL_TIMEOUT_MS)
            return StoreOutcome.Unknown("no response")
        }
        if (random.nextDouble() < faults.lostResponseShare) {
            calls.merge("lost", 1, Int::plus)
            scope.launch {
                delay(faults.lostWriteDelayMs)
                apply(transaction)
            }
            delay(CALL_TIMEOUT_MS)
            return StoreOutcome.Unknown("lost")
        }
        val outcome = apply(transaction)
        delay(latencyMsOf(caller) / 2)
        return if (faults.answersNewestVersion && outcome is StoreOutcome.Applied) {
            StoreOutcome.Applied(version)
        } else {
            outcome
        }
    }

    private fun apply(transaction: StoreTransaction): StoreOutcome {
        if (transaction.conditions.any { (rows[it.id]?.version ?: 0) != it.version }) {
            calls.merge("conflict", 1, Int::plus)
            return StoreOutcome.Conflict(transaction.conditions.mapNotNull { rows[it.id] })
        }
        version++
        transaction.writes.forEach { record(StoredRow(it.id, it.value, version)) }
        transaction.deletes.forEach { id -> if (rows.containsKey(id)) record(StoredRow(id, null, version)) }
        return StoreOutcome.Applied(version)
    }

    private fun record(row: StoredRow) {
        if (row.value == null) rows.remove(row.id) else rows[row.id] = row
        historyByTable.getOrPut(row.id.table) { ArrayList() } += row
    }

    /** Writes a row immediately, as an operator or a worker would. */
    public fun put(id: RowId, value: ByteArray?) {
        version++
        record(StoredRow(id, value, version))
    }

    private suspend fun readPage(caller: String, query: RowRangeQuery): Either<ReadFailure, RowPage> {
        calls.merge("read", 1, Int::plus)
        delay(latencyMsOf(caller))
        if (isRefused(caller)) return ReadFailure.Unavailable("refused").left()
        if (isSilent(caller, query.partition)) {
            delay(CALL_TIMEOUT_MS)
            return ReadFailure.Unavailable("no response").left()
        }
        val found = rows.values.filter { it.id.table == query.table && it.id.partition == query.partition }
            .filter { query.fromKey == null || it.id.key >= query.fromKey.orEmpty() }
            .filter { query.toKey == null || it.id.key < query.toKey.orEmpty() }
            .sortedBy { it.id.key }
        return RowPage(found, hasMore = false, version, clock()).right()
    }

    private suspend fun changes(
        caller: String,
        table: String,
        afterVersion: Long,
        waitMs: Long,
    ): Either<ReadFailure, ChangePage> {
        calls.merge("changes", 1, Int::plus)
        if (caller in faults.unresponsiveFeeds) {
            calls.merge("unresponsive feed", 1, Int::plus)
            delay(waitMs + FEED_TIMEOUT_MARGIN_MS)
            return ReadFailure.Unavailable("no response").left()
        }
        var waitedMs = 0L
        while (true) {
            if (isRefused(caller)) return ReadFailure.Unavailable("refused").left()
            if (afterVersion < faults.oldestHistoryVersion) return ReadFailure.HistoryGone.left()
            val changed = historyByTable[table].orEmpty().takeLastWhile { it.version > afterVersion }
            if (changed.isNotEmpty() || waitedMs >= waitMs) {
                // Rows that are written while the response is in flight belong to the next page.
                val page = ChangePage(changed, version, clock())
                delay(faults.latencyMs + (faults.feedDelayMs[caller] ?: 0))
                return page.right()
            }
            delay(FEED_POLL_PERIOD_MS)
            waitedMs += FEED_POLL_PERIOD_MS
        }
    }
}
