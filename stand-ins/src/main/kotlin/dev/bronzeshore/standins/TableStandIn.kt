/** HTTP server of the table service. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.RowRange
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.WriteResult
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText

internal class TableStandIn(override val id: String) : StandIn {
    override val faultInjector = FaultInjector()
    override val calls = CallCounter()
    private val store = TableStore()

    override suspend fun handleCall(call: ApplicationCall, path: String): Answer = when {
        call.request.httpMethod == HttpMethod.Get && path == "/rows" -> read(call)
        call.request.httpMethod == HttpMethod.Post && path == "/transactions" -> write(call)
        else -> Answer.notFound
    }

    override fun records(): ServerRecords = ServerRecords(id, ServerRole.TABLE, calls.counts())

    private fun read(call: ApplicationCall): Answer {
        val query = call.request.queryParameters
        val key = query["key"]
        if (key != null) {
            return store.read(key)?.let { Answer.json(it) } ?: Answer.notFound
        }
        val prefix = query["prefix"] ?: return Answer.text(HttpStatusCode.BadRequest, "key or prefix is required\n")
        val defaults = RowRange(prefix)
        val limit = query["limit"]?.toIntOrNull() ?: defaults.limit
        return Answer.json(store.readRange(RowRange(prefix, query["after"] ?: defaults.afterKey, limit)))
    }

    private suspend fun write(call: ApplicationCall): Answer {
        val transaction = WireJson.decodeFromString<Transaction>(call.receiveText())
        return store.write(transaction).fold(
            { Answer.fault(it) },
            {
                when (it) {
                    is WriteResult.Conflict -> calls.countConflict()
                    WriteResult.Applied -> calls.countRows(transaction.puts.size + transaction.deletes.size)
                }
                Answer.json<WriteResult>(it)
            },
        )
    }
}
