/** Values of another writer in bronzeshore's own tables: each is rejected, and none ends the thread that reads it. */
package dev.bronzeshore.core.cluster

import kotlinx.serialization.KSerializer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Stack of a thread in deploy/system.toml (`-Xss256k`). */
private const val STACK_BYTES = 262_144L

/** Largest value of a row in the platform's store. */
private const val ROW_BYTES = 65_536

class OddRowValueTest {
    class Case(val name: String, val serializer: KSerializer<*>, val value: ByteArray) {
        override fun toString() = name
    }

    /** Guards against an error of the JVM (stack overflow, out of memory) from a value that another program wrote. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `an odd value is rejected`(case: Case) {
        var result: Result<Boolean>? = null
        val rows = listOf(case.value) + FIELDS.map { entry(it, case.value) }
        val read = { result = runCatching { rows.all { decodeRow(case.serializer, it).isLeft() } } }
        Thread(null, read, "small stack", STACK_BYTES).apply {
            start()
            join()
        }
        assertEquals(Result.success(true), result)
    }

    companion object {
        private val SERIALIZERS = listOf(
            "accepted job" to AcceptedJob.serializer(),
            "progress" to JobProgress.serializer(),
            "roster" to WorkerRosterRow.serializer(),
            "speeds" to WorkerSpeedsRow.serializer(),
            "waiting counts" to WaitingCounts.serializer(),
            "process" to NodeRow.serializer(),
        )

        private fun bytesOf(vararg values: Int) = ByteArray(values.size) { values[it].toByte() }

        /** A map with one entry, whose key is a text of less than 24 bytes. */
        private fun entry(key: String, value: ByteArray) =
            byteArrayOf(0xA1.toByte(), (0x60 + key.length).toByte()) + key.toByteArray() + value

        private val HUGE_LENGTHS = listOf(
            "2^31-1" to bytesOf(0x1A, 0x7F, 0xFF, 0xFF, 0xFF),
            "2^30" to bytesOf(0x1A, 0x40, 0x00, 0x00, 0x00),
            "2^28" to bytesOf(0x1A, 0x10, 0x00, 0x00, 0x00),
            "2^32-1" to bytesOf(0x1A, 0xFF, 0xFF, 0xFF, 0xFF),
            "2^63-1" to bytesOf(0x1B, 0x7F, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF),
            "2^64-1" to bytesOf(0x1B, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF),
        )

        /** The length as the head of an item of major type [major]: 2 bytes, 3 text, 4 list, 5 map. */
        private fun head(major: Int, length: ByteArray) =
            byteArrayOf(((major shl 5) or length[0].toInt()).toByte()) + length.drop(1)

        private fun values() = HUGE_LENGTHS.flatMap { (name, length) ->
            listOf(2 to "bytes", 3 to "text", 4 to "list", 5 to "map").map { (major, type) ->
                "$type of length $name" to head(major, length)
            }
        } + listOf(
            "lists ${ROW_BYTES - 50} deep" to ByteArray(ROW_BYTES - 50) { 0x81.toByte() },
            "unbounded lists" to ByteArray(ROW_BYTES - 50) { 0x9F.toByte() },
            "unbounded maps" to ByteArray(ROW_BYTES - 50) { 0xBF.toByte() },
            "tags" to ByteArray(ROW_BYTES - 50) { 0xC1.toByte() },
        )

        private val FIELDS = listOf(
            "workers", "byQueue", "logSlowness", "steps", "description", "terms", "processName", "phase", "unknown",
        )

        @JvmStatic
        fun cases(): List<Case> = SERIALIZERS.flatMap { (name, serializer) ->
            values().map { (label, value) -> Case("$name: $label", serializer, value) }
        }
    }
}
