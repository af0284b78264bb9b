/** Durable changes of jobs, which the journal writes in batches. */
package dev.bronzeshore.jobs

import arrow.core.Either
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WireJson
import kotlinx.coroutines.CompletableDeferred

/** Result of a journal entry. */
internal sealed interface AppendResult {
    data object Written : AppendResult

    /** The row already exists or was changed by another writer. */
    data object Superseded : AppendResult
}

/**
 * One durable change of a job.
 *
 * [condition] makes the transaction safe to repeat: once the entry has been applied, the condition no longer holds.
 *
 * An entry with [canFail] fails when the table service is unavailable; the others are retried until written.
 */
internal class JournalEntry private constructor(
    val condition: Condition,
    val puts: List<Put>,
    val deletes: List<String>,
    val canFail: Boolean,
) {
    val outcome: CompletableDeferred<Either<Fault, AppendResult>> = CompletableDeferred()

    val rowCount: Int get() = puts.size + deletes.size

    companion object {
        fun acceptance(record: JobRecord) = JournalEntry(
            condition = Condition(JobRows.jobKey(record.jobId), version = 0),
            puts = JobRows.putsFor(record),
            deletes = emptyList(),
            canFail = true,
        )

        fun completion(record: JobRecord) = JournalEntry(
            condition = Condition(JobRows.jobKey(record.jobId), ACCEPTED_VERSION),
            puts = listOf(Put(JobRows.jobKey(record.jobId), WireJson.encodeToString(record))),
            deletes = listOf(JobRows.openKey(record)),
            canFail = false,
        )

        /** A job row is written once at acceptance and once at completion. */
        private const val ACCEPTED_VERSION = 1L
    }
}

/** Entries that are written in one transaction with one write id. */
internal class JournalBatch(val writeId: String, val entries: List<JournalEntry>) {
    /** True once an attempt may have taken effect; the batch is then repeated unchanged until the outcome is known. */
    var isUncertain: Boolean = false

    fun transaction(fence: Condition) = Transaction(
        writeId = writeId,
        conditions = listOf(fence) + entries.map { it.condition },
        puts = entries.flatMap { it.puts },
        deletes = entries.flatMap { it.deletes },
    )
}
