/** A conditional write whose outcome becomes known as long as the table service responds. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult

/**
 * Sends one transaction until its outcome is known.
 *
 * [guardKey] is the row whose version the transaction requires. [markerKey] is a row that only this transaction
 * creates, on condition that it does not exist: it shows that the write took effect even after another writer has
 * replaced the guarded row. Because of the condition on the guarded row, repeating the transaction cannot apply it
 * twice.
 */
internal class WriteResolver(
    private val table: TableApi,
    private val transaction: Transaction,
    private val guardKey: String,
    private val markerKey: String,
) {
    private var mayHaveTakenEffect = false

    /** Makes up to [attempts] attempts and calls [backoff] between two of them. */
    suspend fun run(attempts: Int, backoff: suspend (attempt: Int) -> Unit): Either<Fault, WriteResult> {
        for (attempt in 1..attempts) {
            val response = table.write(transaction)
            response.onRight { return resolveResult(it) }
            response.onLeft { fault ->
                if (fault.code.outcome == Outcome.NOT_RUN && !mayHaveTakenEffect) {
                    return response
                }
                mayHaveTakenEffect = true
            }
            if (hasOwnWriteId(guardKey)) {
                return WriteResult.Applied.right()
            }
            if (attempt < attempts) {
                backoff(attempt)
            }
        }
        return unknown("the table service does not answer").left()
    }

    private suspend fun resolveResult(result: WriteResult): Either<Fault, WriteResult> = when {
        result !is WriteResult.Conflict -> result.right()
        result.key == markerKey || hasOwnWriteId(guardKey) -> WriteResult.Applied.right()
        !mayHaveTakenEffect -> result.right()
        else -> resolveByMarker(result)
    }

    /**
     * An earlier attempt of this write may have caused the conflict, and another writer may have replaced its row.
     * A condition shows whether the marker row exists: unlike a read, it is never checked against stale data.
     */
    private suspend fun resolveByMarker(conflict: WriteResult.Conflict): Either<Fault, WriteResult> {
        val probe = Transaction("${transaction.writeId}-probe", listOf(Condition(markerKey, 0)))
        return table.write(probe).fold(
            { unknown(it.message).left() },
            { (if (it is WriteResult.Conflict) WriteResult.Applied else conflict).right() },
        )
    }

    private fun unknown(reason: String): Fault = Fault(
        ResultCode.WRITE_UNKNOWN,
        "The answer to write ${transaction.writeId} was lost and could not be settled: $reason",
        guardKey,
        "a repeat of the same command",
    )

    private suspend fun hasOwnWriteId(key: String): Boolean =
        table.read(key).fold({ false }, { it?.writeId == transaction.writeId })
}
