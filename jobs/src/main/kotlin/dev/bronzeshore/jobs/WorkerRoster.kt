/** The durable list of workers that may run tasks of a data centre. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.WriteResult
import java.util.UUID

/**
 * Row `workers/<dataCentre>`, written before the first start on a worker.
 *
 * The platform's VM list may hide a live worker. A new owner that trusted the list alone could start a part again
 * while the hidden worker still runs it, so it asks every worker of this roster.
 */
internal class WorkerRoster(private val table: TableApi, private val fence: Condition, dataCentre: String) {
    private val key = "workers/$dataCentre"
    var saved: List<Vm> = emptyList()
        private set

    suspend fun load(): Either<Fault, List<Vm>> = table.read(key).map { row ->
        saved = row?.let { WireJson.decodeFromString<List<Vm>>(it.value) }.orEmpty()
        saved
    }

    /** Writes the list if it differs from the saved one; repeating it after a lost answer is harmless. */
    suspend fun save(workers: List<Vm>): Either<Fault, Boolean> {
        val sorted = workers.sortedBy { it.id }
        if (sorted == saved) return true.right()
        val transaction = Transaction(
            UUID.randomUUID().toString(),
            listOf(fence),
            listOf(Put(key, WireJson.encodeToString(sorted))),
        )
        return table.write(transaction).flatMap { result ->
            if (result is WriteResult.Applied) saved = sorted
            (result is WriteResult.Applied).right()
        }
    }
}
