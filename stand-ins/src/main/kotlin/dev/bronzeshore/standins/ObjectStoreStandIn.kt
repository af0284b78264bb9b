/** HTTP server of the object store, which reads and writes complete objects by name. */
package dev.bronzeshore.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receive
import java.util.concurrent.ConcurrentHashMap

private const val OBJECTS_PATH = "/objects/"

internal class ObjectStoreStandIn(override val id: String) : StandIn {
    override val faultInjector = FaultInjector()
    override val calls = CallCounter()
    private val objects = ConcurrentHashMap<String, ByteArray>()

    override suspend fun handleCall(call: ApplicationCall, path: String): Answer {
        val name = path.removePrefix(OBJECTS_PATH)
        if (!path.startsWith(OBJECTS_PATH) || name.isEmpty()) return Answer.notFound
        return when (call.request.httpMethod) {
            HttpMethod.Get -> objects[name]?.let {
                Answer.Whole(HttpStatusCode.OK, ContentType.Application.OctetStream, it)
            } ?: Answer.notFound

            HttpMethod.Put -> {
                objects[name] = call.receive<ByteArray>()
                Answer.empty
            }

            else -> Answer.text(HttpStatusCode.MethodNotAllowed, "GET or PUT is required\n")
        }
    }

    override fun records(): ServerRecords = ServerRecords(id, ServerRole.OBJECT_STORE, calls.counts())
}
