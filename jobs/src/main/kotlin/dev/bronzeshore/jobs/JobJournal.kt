/** Batches durable changes so that the write rate does not grow with the number of jobs. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.WriteResult
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import java.util.UUID

/** Minimum time between two flushes of one data centre. */
public const val JOURNAL_FLUSH_PERIOD_MS: Long = 100

/** Maximum number of rows in one transaction. */
public const val JOURNAL_BATCH_ROWS: Int = 100

/** Delay before a retry after a fault of the table service. */
private const val RETRY_DELAY_MS = 500L

/** Used on the control thread; [run] writes until it is cancelled or another owner has taken over. */
internal class JobJournal(
    private val table: TableApi,
    private val fence: Condition,
    private val clock: ClockMs,
    private val log: ComponentLog,
) {
    private val buffer = ArrayDeque<JournalEntry>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var uncertainBatch: JournalBatch? = null
    private var nextFlushAtMs = 0L
    private var isFenced = false

    val depth: Int get() = buffer.size + (uncertainBatch?.entries?.size ?: 0)

    /** Queues an entry and waits for its result. */
    suspend fun append(entry: JournalEntry): Either<Fault, AppendResult> {
        if (isFenced) return lostOwnership().left()
        buffer.addLast(entry)
        wakeUp.trySend(Unit)
        return entry.outcome.await()
    }

    suspend fun run() {
        while (!isFenced) {
            if (depth == 0) wakeUp.receive()
            val waitMs = nextFlushAtMs - clock()
            if (waitMs > 0) delay(waitMs)
            nextFlushAtMs = clock() + JOURNAL_FLUSH_PERIOD_MS
            flush()
        }
    }

    private suspend fun flush() {
        val batch = uncertainBatch ?: nextBatch() ?: return
        table.write(batch.transaction(fence)).fold(
            { fault -> onFault(batch, fault) },
            { result -> onResult(batch, result) },
        )
    }

    private fun nextBatch(): JournalBatch? {
        val entries = mutableListOf<JournalEntry>()
        var rows = 0
        while (buffer.isNotEmpty() && rows + buffer.first().rowCount <= JOURNAL_BATCH_ROWS) {
            rows += buffer.first().rowCount
            entries += buffer.removeFirst()
        }
        return if (entries.isEmpty()) null else JournalBatch(UUID.randomUUID().toString(), entries)
    }

    private fun onFault(batch: JournalBatch, fault: Fault) {
        nextFlushAtMs = clock() + RETRY_DELAY_MS
        if (fault.code.outcome == Outcome.UNKNOWN) batch.isUncertain = true
        if (batch.isUncertain) {
            uncertainBatch = batch
            return
        }
        val (failed, kept) = batch.entries.partition { it.canFail }
        failed.forEach { it.outcome.complete(fault.left()) }
        kept.asReversed().forEach { buffer.addFirst(it) }
    }

    private suspend fun onResult(batch: JournalBatch, result: WriteResult) {
        when (result) {
            is WriteResult.Applied -> completeBatch(batch)
            is WriteResult.Conflict -> onConflict(batch, result.key)
        }
    }

    private suspend fun onConflict(batch: JournalBatch, key: String) {
        if (key == fence.key) return stopWriting(batch)
        val wasApplied =
            batch.isUncertain && table.read(key).fold({ return retryLater(batch) }, { it?.writeId == batch.writeId })
        if (wasApplied) return completeBatch(batch)
        uncertainBatch = null
        val (superseded, others) = batch.entries.partition { it.condition.key == key }
        superseded.forEach { it.outcome.complete(AppendResult.Superseded.right()) }
        others.asReversed().forEach { buffer.addFirst(it) }
    }

    private fun retryLater(batch: JournalBatch) {
        uncertainBatch = batch
        nextFlushAtMs = clock() + RETRY_DELAY_MS
    }

    private fun completeBatch(batch: JournalBatch) {
        uncertainBatch = null
        batch.entries.forEach { it.outcome.complete(AppendResult.Written.right()) }
    }

    private fun stopWriting(batch: JournalBatch) {
        log.warn { "A newer owner holds the journal; this process stops writing." }
        isFenced = true
        uncertainBatch = null
        (batch.entries + buffer).forEach { it.outcome.complete(lostOwnership().left()) }
        buffer.clear()
    }

    private fun lostOwnership() =
        Fault(ResultCode.WRITE_UNKNOWN, "The data centre changed owner; repeat with the same key.")
}
