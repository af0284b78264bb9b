/** Framing of HTTP/1.1 bodies, which distinguishes a complete body from a truncated one. */
package dev.bronzeshore.requests

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import io.ktor.utils.io.writeFully
import java.io.EOFException
import java.io.IOException

internal const val COPY_BUFFER_BYTES: Int = 16_384

private const val MAX_LINE_BYTES = 8_192L
private const val HEX = 16
private val CRLF = byteArrayOf('\r'.code.toByte(), '\n'.code.toByte())

/** How the end of a body is determined. */
internal sealed interface Framing {
    data object None : Framing

    data object Chunked : Framing

    data class Length(val bytes: Long) : Framing

    /** The body ends when the connection is closed; a truncated body cannot be distinguished from a complete one. */
    data object UntilClose : Framing
}

/** Reads up to [maxBytes] bytes; throws if the channel was closed because of a failure, instead of returning -1. */
internal suspend fun ByteReadChannel.readOrFail(buffer: ByteArray, maxBytes: Int): Int {
    val count = readAvailable(buffer, 0, maxBytes)
    if (count < 0) closedCause?.let { throw IOException("the connection failed: $it", it) }
    return count
}

/** True if the next read may suspend. A failed channel throws here too; the failure is reported by that read. */
internal fun ByteReadChannel.mightSuspend(): Boolean = try {
    availableForRead == 0
} catch (_: IOException) {
    true
}

/** Reads a body in blocks; throws [IOException] if the connection ends before the body is complete. */
internal class BodyReader(private val source: ByteReadChannel, private val framing: Framing) {
    /** Remaining bytes of the body or of the current chunk. */
    private var remaining = if (framing is Framing.Length) framing.bytes else 0L
    private var isEnded = framing == Framing.None
    private var firstChunk = true

    /** Returns the number of bytes read into [buffer], or -1 at the end of the body. */
    suspend fun read(buffer: ByteArray): Int {
        if (framing == Framing.Chunked && remaining == 0L && !isEnded) readChunkHeader()
        if (framing is Framing.Length && remaining == 0L) isEnded = true
        if (isEnded) return -1
        if (framing == Framing.UntilClose) return source.readOrFail(buffer, buffer.size)
        val count = source.readOrFail(buffer, minOf(buffer.size.toLong(), remaining).toInt())
        if (count < 0) throw EOFException("the connection ended $remaining bytes before the end of the body or chunk")
        remaining -= count
        return count
    }

    /** True if the next read may suspend. */
    val mightSuspend: Boolean get() = source.mightSuspend()

    private suspend fun readChunkHeader() {
        if (!firstChunk && readLine().isNotEmpty()) throw IOException("a chunk is longer than its size says")
        firstChunk = false
        val size = readLine().substringBefore(';').trim()
        remaining =
            size.toLongOrNull(HEX)?.takeIf { it >= 0 } ?: throw IOException("the chunk size '$size' is malformed")
        if (remaining > 0) return
        // Trailers are treated as hop-by-hop and dropped.
        while (readLine().isNotEmpty()) Unit
        isEnded = true
    }

    private suspend fun readLine(): String =
        source.readLineStrict(MAX_LINE_BYTES) ?: throw EOFException("the connection ended within a chunked body")
}

/** Writes a body; it is complete for the receiver only after [finish]. */
internal class BodyWriter(private val sink: ByteWriteChannel, private val chunked: Boolean) {
    suspend fun write(buffer: ByteArray, count: Int) {
        if (count == 0) return
        if (chunked) sink.writeFully("${count.toString(HEX)}\r\n".toByteArray())
        sink.writeFully(buffer, 0, count)
        if (chunked) sink.writeFully(CRLF)
    }

    suspend fun flush(): Unit = sink.flush()

    suspend fun finish() {
        if (chunked) sink.writeFully("0\r\n\r\n".toByteArray())
        sink.flush()
    }
}
