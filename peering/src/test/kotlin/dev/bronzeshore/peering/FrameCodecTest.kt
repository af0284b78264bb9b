package dev.bronzeshore.peering

import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WireCbor
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.ByteBuffer
import kotlin.random.Random

@OptIn(ExperimentalSerializationApi::class)
class FrameCodecTest {
    private val valid = WireCbor.encodeToByteArray(Frame(7, "promise", isReply = false, deadlineMs = 9, ByteArray(40)))

    private fun framed(lengthBytes: Int, body: ByteArray = ByteArray(0)) =
        ByteBuffer.allocate(Int.SIZE_BYTES + body.size).putInt(lengthBytes).put(body).array()

    /** Guards against memory allocation for an invalid length from a faulty peer. */
    @Test
    fun `a length out of range is rejected before the body is read`() = runTest {
        listOf(Int.MIN_VALUE, -1, 0, MAX_FRAME_BYTES + 1, Int.MAX_VALUE).forEach { lengthBytes ->
            val result = FrameCodec.read(ByteReadChannel(framed(lengthBytes)))
            assertEquals(ResultCode.MALFORMED_FRAME, result.leftOrNull()?.code, "length $lengthBytes")
        }
    }

    /** Guards against malformed frames that end the process instead of the connection; 20,000 inputs, seed 5. */
    @Test
    fun `corrupted, truncated and random bodies are decoded or rejected`() {
        val random = Random(5)
        repeat(20_000) { round ->
            val bytes = when (round % 3) {
                0 -> valid.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
                1 -> valid.copyOf(random.nextInt(valid.size))
                else -> random.nextBytes(random.nextInt(1, 200))
            }
            FrameCodec.decode(bytes).onLeft { assertEquals(ResultCode.MALFORMED_FRAME, it.code) }
        }
    }

    @Test
    fun `a frame is read as it was written`() = runTest {
        val frame = FrameCodec.read(ByteReadChannel(framed(valid.size, valid))).getOrNull()
        assertEquals(listOf(7L, "promise", 9L, 40), frame?.let { listOf(it.id, it.call, it.deadlineMs, it.body.size) })
    }
}
