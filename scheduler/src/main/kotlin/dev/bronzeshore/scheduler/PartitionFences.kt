/**
 * The fences of a leader in the intake partitions: rows with its term, which all its writes there require.
 *
 * A new leader writes its term into each partition before it reads the jobs there. So a former leader, which may not
 * know that it has been replaced, cannot write about these jobs any more. Not thread-safe.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit

/** Partitions that are read and fenced in parallel. In a slow period of the store each takes two calls of 300 ms. */
private const val PARALLEL_PARTITIONS = 64
private const val RETRY_MS = 100L

internal class PartitionFences(private val context: TermContext) {
    private val currentVersions = HashMap<String, Long>()
    private val formerVersions = HashMap<String, Long>()

    /**
     * Version of the last fence of a former leader in the partition. That leader renewed it with each write there, so
     * it has not started jobs that were stored later on the strength of such a write.
     */
    fun formerVersion(partition: String): Long = formerVersions[partition] ?: Long.MAX_VALUE

    /** Reads all jobs once the fences are in place; returns when each partition has responded. */
    suspend fun readJobs(reader: TableReader): TableContent = coroutineScope {
        val slots = Semaphore(PARALLEL_PARTITIONS)
        val contents = Tables.INTAKE_PARTITIONS.map { partition ->
            async { slots.withPermit { fenceAndRead(partition, reader) } }
        }.awaitAll()
        TableContent(contents.flatMap { it.rows }, contents.minOf { it.version })
    }

    private suspend fun fenceAndRead(partition: String, reader: TableReader): TableContent {
        while (true) {
            val content = reader.readPart(Tables.INTAKE, partition)
            if (content != null) {
                val known = content.rows.firstOrNull { IntakeRows.isFence(it.id) }
                if (isOfLaterTerm(known)) context.onLeadershipLost()
                val knownVersion = known?.version ?: 0
                // What a former leader writes after the read changes the fence, so that the write is refused.
                if (!isOfLaterTerm(known) && write(partition, knownVersion) is StoreOutcome.Applied) {
                    formerVersions[partition] = knownVersion
                    return TableContent(content.rows.filterNot { IntakeRows.isFence(it.id) }, content.version)
                }
            }
            delay(RETRY_MS)
        }
    }

    /** Writes rows of [partition] on condition that this leader's fence is in place, and renews the fence. */
    suspend fun write(partition: String, writes: List<RowWrite>): StoreOutcome =
        write(partition, currentVersions[partition] ?: 0, writes)

    private suspend fun write(
        partition: String,
        knownVersion: Long,
        writes: List<RowWrite> = emptyList(),
    ): StoreOutcome {
        val fence = IntakeRows.fenceRow(partition)
        val transaction = StoreTransaction(
            conditions = listOf(RowCondition(fence, knownVersion)),
            writes = writes + RowWrite(fence, context.term.toString().toByteArray()),
        )
        val outcome = context.store.transact(transaction)
        // The answer may name a later version than that of the fence; the next write then tells it by its conflict.
        if (outcome is StoreOutcome.Applied) currentVersions[partition] = outcome.version
        if (outcome is StoreOutcome.Conflict) handleConflict(partition, outcome.rows.firstOrNull { it.id == fence })
        return outcome
    }

    /** Either a newer leader has fenced the partition, or an earlier write with an unknown outcome has taken effect. */
    private suspend fun handleConflict(partition: String, fence: StoredRow?) {
        if (isOfLaterTerm(fence)) return context.onLeadershipLost()
        if (termOf(fence) == context.term) fence?.let { currentVersions[partition] = it.version }
    }

    private fun isOfLaterTerm(fence: StoredRow?) = termOf(fence)?.let { it > context.term } ?: false

    private fun termOf(fence: StoredRow?): Long? = fence?.value?.decodeToString()?.toLongOrNull()
}
