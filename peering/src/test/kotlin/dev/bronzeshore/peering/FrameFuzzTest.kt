/** Frames with random damage: decoding them yields a frame or a fault, and nothing else. */
package dev.bronzeshore.peering

import dev.bronzeshore.core.WireCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

private const val FRAMES_PER_SEED = 4_000
private const val MAX_CHANGED_BYTES = 4

@OptIn(ExperimentalSerializationApi::class)
class FrameFuzzTest {
    /** Guards against a frame that ends the process by an exception that the reader does not expect. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `a damaged frame is a frame or a fault`(seed: Long) {
        val random = Random(seed)
        repeat(FRAMES_PER_SEED) { FrameCodec.decode(damaged(random)) }
    }

    private fun damaged(random: Random): ByteArray {
        val frame = Frame(random.nextLong(), "call", random.nextBoolean(), 1, random.nextBytes(random.nextInt(60)))
        val bytes = WireCbor.encodeToByteArray(frame)
        repeat(random.nextInt(1, MAX_CHANGED_BYTES)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        return if (random.nextInt(4) == 0) bytes.copyOf(random.nextInt(bytes.size)) else bytes
    }
}
