/** Response of a stand-in to a call. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.WireJson
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.encodeToString

internal sealed interface Answer {
    /** A complete response that the host sends, unless an injected fault drops it. */
    class Whole(val status: HttpStatusCode, val contentType: ContentType, val bytes: ByteArray) : Answer

    /** The stand-in has sent its response itself. */
    data object Sent : Answer

    /** The host closes the connection without a response. */
    data object ConnectionClosed : Answer

    companion object {
        val notFound: Answer = text(HttpStatusCode.NotFound, "not found\n")
        val empty: Answer = Whole(HttpStatusCode.NoContent, ContentType.Text.Plain, ByteArray(0))

        fun text(status: HttpStatusCode, text: String): Answer =
            Whole(status, ContentType.Text.Plain, text.encodeToByteArray())

        fun fault(fault: Fault): Answer = Whole(
            HttpStatusCode.fromValue(fault.code.httpStatus),
            ContentType.Application.Json,
            WireJson.encodeToString(fault).encodeToByteArray(),
        )

        inline fun <reified T> json(value: T): Answer = Whole(
            HttpStatusCode.OK,
            ContentType.Application.Json,
            WireJson.encodeToString(value).encodeToByteArray(),
        )
    }
}
