/** Reads and writes frames: a 4-byte length followed by that many bytes of CBOR. */
package dev.bronzeshore.peering

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WireCbor
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Maximum size of an encoded frame; a larger one is rejected before memory is allocated for it. */
public const val MAX_FRAME_BYTES: Int = 1_048_576

@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    /** Reads one frame; a left result means that the connection must be closed. */
    suspend fun read(channel: ByteReadChannel): Either<Fault, Frame> {
        val lengthBytes = channel.readInt()
        if (lengthBytes !in 1..MAX_FRAME_BYTES) {
            return Fault(ResultCode.MALFORMED_FRAME, "Frame length $lengthBytes is not in 1..$MAX_FRAME_BYTES.").left()
        }
        return decode(channel.readByteArray(lengthBytes))
    }

    fun decode(bytes: ByteArray): Either<Fault, Frame> = try {
        WireCbor.decodeFromByteArray<Frame>(bytes).right()
    } catch (failure: IllegalArgumentException) {
        Fault(ResultCode.MALFORMED_FRAME, "The frame is not valid CBOR: ${failure.message}").left()
    } catch (failure: IndexOutOfBoundsException) {
        // The CBOR decoder throws this instead of a SerializationException for some truncated inputs.
        Fault(ResultCode.MALFORMED_FRAME, "The frame is truncated: ${failure.message}").left()
    }

    suspend fun write(channel: ByteWriteChannel, frame: Frame) {
        val bytes = WireCbor.encodeToByteArray(frame)
        require(bytes.size <= MAX_FRAME_BYTES) { "frame of ${bytes.size} bytes exceeds $MAX_FRAME_BYTES" }
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
        channel.flush()
    }
}
