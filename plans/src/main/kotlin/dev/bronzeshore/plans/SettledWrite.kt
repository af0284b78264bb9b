/** A conditional write of one row that ends with a known outcome whenever the table service can be asked. */
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
 * [guardKey] is the row whose version the transaction requires. [receiptKey] is a row that only this transaction
 * creates, with the condition that it does not exist: it shows that the write took effect even after another writer
 * has replaced the guarded row. Because of the condition on the guarded row, sending the transaction again cannot apply
 * it twice.
 */
internal class SettledWrite(
    private val table: TableApi,
    private val transaction: Transaction,
    private val guardKey: String,
    private val receiptKey: String,
) {
    private var mayHaveBeenSent = false

    /** Tries up to [attempts] times, with [pause] between two of them. */
    suspend fun run(attempts: Int, pause: suspend (attempt: Int) -> Unit): Either<Fault, WriteResult> {
        for (attempt in 1..attempts) {
            val answer = table.write(transaction)
            answer.onRight { return settleAnswer(it) }
            answer.onLeft { fault ->
                if (fault.code.outcome == Outcome.NOT_RUN && !mayHaveBeenSent) {
                    return answer
                }
                mayHaveBeenSent = true
            }
            if (showsThisWrite(guardKey)) {
                return WriteResult.Applied.right()
            }
            if (attempt < attempts) {
                pause(attempt)
            }
        }
        return unknown("the table service does not answer").left()
    }

    private suspend fun settleAnswer(result: WriteResult): Either<Fault, WriteResult> = when {
        result !is WriteResult.Conflict -> result.right()
        result.key == receiptKey || showsThisWrite(guardKey) -> WriteResult.Applied.right()
        !mayHaveBeenSent -> result.right()
        else -> settleByReceipt(result)
    }

    /**
     * An earlier attempt of this write may have caused the conflict, and another writer may have replaced its row.
     * A condition tells whether the receipt exists: unlike a read, the table service cannot answer it with old data.
     */
    private suspend fun settleByReceipt(conflict: WriteResult.Conflict): Either<Fault, WriteResult> {
        val probe = Transaction("${transaction.writeId}-probe", listOf(Condition(receiptKey, 0)))
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

    private suspend fun showsThisWrite(key: String): Boolean =
        table.read(key).fold({ false }, { it?.writeId == transaction.writeId })
}
