package dev.bronzeshore.server.processes

import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test

private const val END_TIMEOUT_MS = 60_000L
private const val TOO_LARGE_BYTES = 1_100_000

internal class BadInputProcessTest : ClusterTest(size = 1) {
    private class Case(
        val name: String,
        val code: ResultCode,
        val body: String = "",
        val path: String = "/v1/jobs",
        val token: String? = CALLER_TOKEN,
        val headers: Map<String, String> = mapOf("Idempotency-Key" to "bad"),
    )

    private val size = "\"size\": {\"processorsMillicores\": 1000, \"memoryBytes\": 1000}"
    private val cases = listOf(
        Case("no JSON", ResultCode.MALFORMED_BODY, "{"),
        Case("unknown field", ResultCode.UNKNOWN_FIELD, "{\"kind\": \"seasonPlan\", $size, \"colour\": 1}"),
        Case(
            "duplicate key",
            ResultCode.DUPLICATE_KEY,
            "{\"kind\": \"seasonPlan\", $size, \"parts\": 1, \"parts\": 2}",
        ),
        Case("negative number", ResultCode.INVALID_SIZE, "{\"kind\": \"seasonPlan\", $size, \"parts\": -1}"),
        Case("overflow", ResultCode.INVALID_SIZE, "{\"kind\": \"seasonPlan\", $size, \"parts\": 99999999999999999999}"),
        Case("missing field", ResultCode.MISSING_FIELD, "{\"kind\": \"seasonPlan\"}"),
        Case("unknown kind", ResultCode.UNKNOWN_KIND, "{\"kind\": \"siege\", $size}"),
        Case("kind of a service", ResultCode.UNKNOWN_KIND, "{\"kind\": \"slotReservation\", $size}"),
        Case("body too large", ResultCode.BODY_TOO_LARGE, " ".repeat(TOO_LARGE_BYTES)),
        Case(
            "larger than any worker",
            ResultCode.FITS_NOWHERE,
            "{\"kind\": \"seasonPlan\", \"size\": {\"processorsMillicores\": 33000, \"memoryBytes\": 1000}}",
        ),
        Case("no idempotency key", ResultCode.MISSING_FIELD, "{\"kind\": \"seasonPlan\", $size}", headers = emptyMap()),
        Case("no token", ResultCode.UNAUTHORIZED, "{\"kind\": \"seasonPlan\", $size}", token = null),
        Case("wrong token", ResultCode.UNAUTHORIZED, "{\"kind\": \"seasonPlan\", $size}", token = "guess"),
        Case("unknown service", ResultCode.UNKNOWN_SERVICE, path = "/v1/services/ferry/slots"),
        Case("unknown path", ResultCode.UNKNOWN_ROUTE, path = "/v2/jobs"),
    )

    /** Guards against invalid input that is accepted, gets no numbered result code or affects a job accepted before. */
    @Test
    @Order(1)
    fun `each invalid call gets its result code and a job accepted before still ends`() {
        val entry = cluster.entries.single()
        val size = Resources(1_000, GIB)
        val jobs = JobBatch("bad-input") { cluster.entries }
        jobs.submit(dataCentreNames, count = 1)
        cases.forEach { case ->
            val reply = entry.call("POST", case.path, case.body.toByteArray(), case.token, case.headers)
            assertEquals(case.code, reply.fault?.code, "${case.name}: $reply")
            assertEquals(case.code.number, reply.fault?.number, case.name)
        }
        assertEquals(emptyList<String>(), jobs.awaitEnds(END_TIMEOUT_MS))
        val after = entry.submit("after", JobSubmission("seasonPlan", size, declaredRunMs = 100))
        assertNotNull(after.text.takeIf { "jobId" in it }, after.text)
    }
}
