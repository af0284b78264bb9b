/** Body of a caller's request, retained for another attempt if it is small enough. */
package dev.bronzeshore.requests

import io.ktor.utils.io.ByteReadChannel
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException

/** Bodies up to this size can be sent again; to retain larger ones would make memory use grow with the load. */
internal const val REPLAY_LIMIT_BYTES: Int = 65_536

/** The connection to the caller failed, as opposed to the connection to the endpoint. */
internal class CallerGoneException(cause: Throwable) : Exception("the caller's connection failed: $cause", cause)

/** Streams [source] to endpoints; with [retain], up to [REPLAY_LIMIT_BYTES] are retained for further attempts. */
internal class ReplayableBody(private val source: ByteReadChannel, private val length: Long?, retain: Boolean) {
    private var retained: ByteArrayOutputStream? = if (retain) ByteArrayOutputStream() else null
    private var readBytes = 0L

    /** True if another attempt can send the complete body. */
    val isReplayable: Boolean get() = readBytes == 0L || retained != null

    suspend fun writeTo(sink: BodyWriter) {
        retained?.let { sink.write(it.toByteArray(), it.size()) }
        val buffer = if (length == 0L) return else ByteArray(COPY_BUFFER_BYTES)
        while (length == null || readBytes < length) {
            val count = readSource(buffer)
            if (count < 0) break
            readBytes += count
            retain(buffer, count)
            sink.write(buffer, count)
            if (source.mightSuspend()) sink.flush()
        }
        sink.finish()
    }

    private suspend fun readSource(buffer: ByteArray): Int {
        val maxBytes = if (length == null) buffer.size else minOf(buffer.size.toLong(), length - readBytes).toInt()
        val count =
            try {
                source.readOrFail(buffer, maxBytes)
            } catch (failure: IOException) {
                throw CallerGoneException(failure)
            }
        if (count < 0 && length != null) throw CallerGoneException(EOFException("the body is too short"))
        return count
    }

    private fun retain(buffer: ByteArray, count: Int) {
        val target = retained ?: return
        if (target.size() + count > REPLAY_LIMIT_BYTES) retained = null else target.write(buffer, 0, count)
    }
}
