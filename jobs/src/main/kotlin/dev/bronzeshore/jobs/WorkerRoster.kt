/** The durable list of workers that may run tasks of a data centre. */
package dev.bronzeshore.jobs

import arrow.core.Either
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
 * The platform's VM list may omit a live worker. A new owner that relied on the list alone could start a part again
 * while the omitted worker still runs it, so it requests a report from every worker of this roster.
 */
internal class WorkerRoster(private val table: TableApi, private val fence: Condition, dataCentre: String) {
    private val key = "workers/$dataCentre"
    private var version = 0L
    var saved: List<Vm> = emptyList()
        private set

    suspend fun load(): Either<Fault, List<Vm>> = table.read(key).map { row ->
        version = row?.version ?: 0
        saved = row?.let { WireJson.decodeFromString<List<Vm>>(it.value) }.orEmpty()
        saved
    }

    /**
     * Writes the list if it differs from the saved one; returns whether the row now contains it.
     *
     * The condition on the row's version prevents an earlier write whose response was lost from taking effect later and
     * removing workers again. After any result other than `Applied`, this reads the row again and the caller retries.
     */
    suspend fun save(workers: List<Vm>): Either<Fault, Boolean> {
        val sorted = workers.sortedBy { it.id }
        if (sorted == saved) return true.right()
        val transaction = Transaction(
            UUID.randomUUID().toString(),
            listOf(fence, Condition(key, version)),
            listOf(Put(key, WireJson.encodeToString(sorted))),
        )
        val isApplied = table.write(transaction).getOrNull() is WriteResult.Applied
        if (!isApplied) return load().map { it == sorted }
        version++
        saved = sorted
        return true.right()
    }
}
