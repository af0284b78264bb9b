/** Generates bodies of any length that differ between callers, without holding a whole body in memory. */
package dev.bronzeshore.server.processes

import java.io.OutputStream
import java.nio.ByteBuffer
import kotlin.random.Random

/** Random blocks from [seed]; each begins with its offset, so that a lost or repeated block is detected. */
internal class BodyPattern(seed: Long) {
    private val block = Random(seed).nextBytes(BLOCK_BYTES)

    fun write(output: OutputStream, lengthBytes: Long, isChunked: Boolean) {
        var writtenBytes = 0L
        while (writtenBytes < lengthBytes) {
            val size = minOf(BLOCK_BYTES.toLong(), lengthBytes - writtenBytes).toInt()
            if (isChunked) output.write("${size.toString(HEX)}\r\n".toByteArray())
            output.write(blockAt(writtenBytes), 0, size)
            if (isChunked) output.write("\r\n".toByteArray())
            writtenBytes += size
        }
        if (isChunked) output.write("0\r\n\r\n".toByteArray())
        output.flush()
    }

    fun expected(): Expected = Expected()

    /** Compares received bytes with the pattern as they arrive. */
    inner class Expected {
        private var offset = 0L
        private var current = ByteArray(0)

        fun accepts(bytes: ByteArray, count: Int): Boolean {
            for (index in 0 until count) {
                val place = (offset % BLOCK_BYTES).toInt()
                if (place == 0) current = blockAt(offset)
                if (bytes[index] != current[place]) return false
                offset++
            }
            return true
        }
    }

    private fun blockAt(offset: Long): ByteArray = block.copyOf().also { ByteBuffer.wrap(it).putLong(offset) }

    private companion object {
        const val BLOCK_BYTES = 65_536
        const val HEX = 16
    }
}
