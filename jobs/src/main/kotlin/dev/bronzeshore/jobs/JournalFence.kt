/** Fencing of the journal: prevents writes of a previous owner after a takeover. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult
import java.util.UUID

/**
 * Writes the term to the row `journal/<dataCentre>` and returns the condition that all later writes of that term carry.
 *
 * Without it, an acceptance that a previous owner sent before its lease ended could be written after the new owner has
 * read the open jobs, and the job would never run.
 */
internal class JournalFence(private val table: TableApi, private val dataCentre: String) {
    private val key = "journal/$dataCentre"

    suspend fun acquire(term: Long): Either<Fault, Condition> = table.read(key).flatMap { row ->
        if (row != null && row.value.toLong() > term) {
            Fault(ResultCode.NOT_OWNER, "Data centre $dataCentre has a newer owner.").left()
        } else {
            write(term, row?.version ?: 0)
        }
    }

    private suspend fun write(term: Long, oldVersion: Long): Either<Fault, Condition> {
        val writeId = UUID.randomUUID().toString()
        val transaction = Transaction(writeId, listOf(Condition(key, oldVersion)), listOf(Put(key, term.toString())))
        return table.write(transaction).fold(
            { fault -> if (fault.code.outcome == Outcome.UNKNOWN) confirmWrite(writeId) else fault.left() },
            { result -> if (result is WriteResult.Applied) fenceAt(oldVersion + 1) else confirmWrite(writeId) },
        )
    }

    /** Reads the row again; its write id shows whether the write took effect. */
    private suspend fun confirmWrite(writeId: String): Either<Fault, Condition> = table.read(key).flatMap { row: Row? ->
        if (row?.writeId == writeId) {
            fenceAt(row.version)
        } else {
            Fault(ResultCode.VERSION_CONFLICT, "The journal row changed during the takeover.").left()
        }
    }

    private fun fenceAt(version: Long): Either<Fault, Condition> = Condition(key, version).right()
}
