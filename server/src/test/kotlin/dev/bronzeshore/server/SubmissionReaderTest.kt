/** Job submissions at and beyond the limits, and the faults that are reported for them. */
package dev.bronzeshore.server

import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against invalid submissions that are accepted, rejected without a place, or overflow the sums of sizes. */
class SubmissionReaderTest {
    /** [fields] are added to an otherwise complete submission; in faulty documents they are the whole document. */
    internal data class Case(val fields: String, val expected: String, val accepted: String) {
        override fun toString() = "${fields.take(MAX_TITLE)} is $expected"
    }

    @Test
    fun `a submission without optional fields has the documented defaults`() {
        val submission = submissionReader.read("body", submission("")).getOrNull()
        assertEquals(JobSubmission("roster", Resources(1, 1, 0)), submission)
        assertEquals(1, submission?.parts)
        assertEquals(Urgency.NORMAL, submission?.urgency)
        assertEquals(true, submission?.idempotent)
        assertEquals(60_000L, submission?.declaredRunMs)
    }

    @ParameterizedTest
    @MethodSource("acceptedFields")
    fun `values at the limits are accepted`(fields: String) {
        assertEquals(
            emptyList<String>(),
            submissionReader.read("body", submission(fields)).faults().map {
                it.summary()
            },
        )
    }

    @ParameterizedTest
    @MethodSource("faultyFields")
    internal fun `faulty fields`(case: Case) {
        val faults = submissionReader.read("body", submission(case.fields)).faults()
        assertEquals(listOf(case.expected), faults.map { it.summary() })
        assertTrue(case.accepted in faults.single().accepted.orEmpty()) { faults.single().toString() }
    }

    @ParameterizedTest
    @MethodSource("faultyDocuments")
    internal fun `faulty documents`(case: Case) {
        val faults = submissionReader.read("body", case.fields).faults()
        assertEquals(case.expected, faults.joinToString { it.summary() })
        assertTrue(case.accepted in faults.first().accepted.orEmpty()) { faults.first().toString() }
    }

    @Test
    fun `the largest size times the largest number of parts does not overflow`() {
        val largest = Resources(10_000_000, 1L shl 49, 10_000)
        assertEquals(Resources(100_000_000_000, 5_629_499_534_213_120_000, 100_000_000), largest * 10_000)
    }

    internal companion object {
        private const val MAX_TITLE = 60
        private const val MAX_PAYLOAD = 65_536
        private const val SIZE = "\"processorsMillicores\": 1, \"memoryBytes\": 1"

        private fun submission(fields: String): String {
            val size = if ("\"size\":" in fields) "" else ", \"size\": {$SIZE}"
            return "{\"kind\": \"roster\"$size${if (fields.isEmpty()) "" else ",\n$fields\n"}}"
        }

        private fun size(fields: String) = "\"size\": {$fields}"

        private fun payload(characters: Int) = "\"payload\": \"${"x".repeat(characters)}\""

        @JvmStatic
        fun acceptedFields() = listOf(
            size("\"processorsMillicores\": 10000000, \"memoryBytes\": 562949953421312, \"accelerators\": 10000"),
            "\"parts\": 10000",
            "\"parts\": 1",
            "\"startBeforeMs\": 1",
            "\"startBeforeMs\": 7258118400000",
            "\"startBeforeMs\": null",
            "\"declaredRunMs\": 0",
            "\"declaredRunMs\": 31536000000",
            "\"dataCentre\": null",
            "\"dataCentre\": \"Sønderborg-1\"",
            "\"urgency\": \"URGENT\", \"allAtOnce\": true, \"idempotent\": false, // a comment",
            payload(MAX_PAYLOAD),
        )

        @JvmStatic
        fun faultyFields() = listOf(
            Case("\"urgent\": true", "1008 body:2 urgent", "urgency"),
            Case(size("$SIZE, \"disks\": 1"), "1008 body:2 size.disks", "processorsMillicores"),
            Case("\"parts\": \"3\"", "1012 body:2 parts", "a whole number"),
            Case("\"parts\": 1.5", "1012 body:2 parts", "a whole number"),
            Case("\"parts\": null", "1012 body:2 parts", "a whole number"),
            Case("\"parts\": [1]", "1012 body:2 parts", "a whole number"),
            Case("\"parts\": 0", "1005 body:2 parts", "1 to 10000"),
            Case("\"parts\": -1", "1005 body:2 parts", "1 to 10000"),
            Case("\"parts\": 10001", "1005 body:2 parts", "1 to 10000"),
            Case("\"parts\": 4294967297", "1005 body:2 parts", "2147483647"),
            Case("\"parts\": 99999999999999999999", "1005 body:2 parts", "2147483647"),
            Case(
                size("\"processorsMillicores\": 0, \"memoryBytes\": 1"),
                "1005 body:2 size.processorsMillicores",
                "1 to 10000000",
            ),
            Case(
                size("\"processorsMillicores\": 10000001, \"memoryBytes\": 1"),
                "1005 body:2 size.processorsMillicores",
                "1 to 10000000",
            ),
            Case(
                size("\"processorsMillicores\": 1, \"memoryBytes\": -1"),
                "1005 body:2 size.memoryBytes",
                "1 to 562949953421312",
            ),
            Case(
                size("\"processorsMillicores\": 1, \"memoryBytes\": 9223372036854775808"),
                "1005 body:2 size.memoryBytes",
                "9223372036854775807",
            ),
            Case(size("$SIZE, \"accelerators\": -1"), "1005 body:2 size.accelerators", "0 to 10000"),
            Case(size("\"memoryBytes\": 1"), "1011 body:2 size", "processorsMillicores"),
            Case("\"size\": 8", "1012 body:2 size", "an object"),
            Case("\"declaredRunMs\": -1", "1005 body:2 declaredRunMs", "0 to 31536000000"),
            Case("\"startBeforeMs\": 0", "1006 body:2 startBeforeMs", "milliseconds since 1970"),
            Case("\"startBeforeMs\": -5", "1006 body:2 startBeforeMs", "milliseconds since 1970"),
            Case("\"startBeforeMs\": 7258118400001", "1006 body:2 startBeforeMs", "7258118400000"),
            Case("\"startBeforeMs\": \"soon\"", "1012 body:2 startBeforeMs", "a whole number"),
            Case("\"urgency\": \"SOON\"", "1012 body:2 urgency", "PATIENT"),
            Case("\"urgency\": 1", "1012 body:2 urgency", "PATIENT"),
            Case("\"allAtOnce\": \"true\"", "1012 body:2 allAtOnce", "true or false"),
            Case("\"idempotent\": 0", "1012 body:2 idempotent", "true or false"),
            Case("\"dataCentre\": \"\"", "1012 body:2 dataCentre", "letters"),
            Case("\"dataCentre\": \"../ridge\"", "1012 body:2 dataCentre", "letters"),
            Case("\"kind\": \"roster\"", "1007 body:2 kind", "each key once"),
            Case("\"parts\": 1, \"parts\": 2", "1007 body:2 parts", "each key once"),
            Case(payload(MAX_PAYLOAD + 1), "1002 body:2 payload", "65536"),
            Case("\"payload\": {\"a\": 1}", "1012 body:2 payload", "a string"),
        )

        @JvmStatic
        fun faultyDocuments() = listOf(
            Case("", "1001 body:1", "JSON"),
            Case("{\"kind\": \"roster\"", "1001 body:1", "JSON"),
            Case("[]", "1012 body:1 (document)", "an object"),
            Case("{}", "1011 body:1 (document), 1011 body:1 (document)", "kind"),
            Case("{\"size\": {$SIZE}}", "1011 body:1 (document)", "kind"),
            Case("{\"kind\": \"roster\"}", "1011 body:1 (document)", "size"),
            Case(
                "{\"kind\": 7,\n\"size\": {$SIZE},\n\"parts\": 0,\n\"extra\": 1}",
                "1012 body:1 kind, 1005 body:3 parts, 1008 body:4 extra",
                "a string",
            ),
        )
    }
}
