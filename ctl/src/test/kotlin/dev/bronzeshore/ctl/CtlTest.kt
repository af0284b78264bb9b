package dev.bronzeshore.ctl

import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.WireJson
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import kotlin.io.path.writeText

/** Guards against wrong exit codes, faults that are not reported, and requests that do not match the operator API. */
class CtlTest {
    @TempDir
    lateinit var directory: Path

    private val calls = mutableListOf<HttpRequest>()
    private val out = mutableListOf<String>()
    private val errors = mutableListOf<String>()
    private var respond: (HttpRequest) -> HttpResult = { error("no call expected: $it") }
    private val environment = mutableMapOf<String, String>()

    private val ctl =
        Ctl(
            CtlContext(
                environment = environment::get,
                http = { request -> respond(request.also { calls += it }) },
                printOut = { out += it },
                printError = { errors += it },
                readInput = { JOB },
                clock = { 86_400_000 },
                newIdempotencyKey = { "new-key" },
                userName = "ada",
            ),
        )

    @BeforeEach
    fun setUp() {
        environment["BRONZESHORE_SERVER"] = "http://h:1/"
        environment["BRONZESHORE_TOKEN_FILE"] = writeFile("token", "secret\n")
        writeFile("plans.json", """{"plans": [{"name": "a", "tokenSha256": "${"0".repeat(64)}", "kinds": []}]}""")
        writeFile("allowances.json", """{"allowances": []} // none yet""")
    }

    internal data class Case(val line: String, val expected: ExitCode, val result: HttpResult?, val shown: String) {
        override fun toString() = "$line -> $expected"
    }

    @ParameterizedTest
    @MethodSource("exitCodeCases")
    internal fun `each outcome has its exit code and message`(case: Case) {
        respond = { case.result ?: error("no call expected") }
        assertEquals(case.expected, run(case.line), errors.toString())
        assertTrue((out + errors).any { case.shown in it }, (out + errors).toString())
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "plans", "plans apply", "plans diff", "plans show", "plans history", "vm", "vm join", "vm leave",
            "vm gone", "vm list", "job", "job submit", "job status", "job cancel", "job list", "why", "audit",
            "status", "check", "trace",
        ],
    )
    fun `every command has complete help`(command: String) {
        assertEquals(ExitCode.OK, run("$command --help"))
        assertEquals("Usage: bronzeshorectl $command".trim(), out.first().take(22 + command.length).trim())
        assertTrue(ExitCode.entries.all { code -> out.any { it.startsWith("  ${code.number}  ") } })
    }

    @Test
    fun `plans apply expects the version whose difference it showed, unless --expected-version is given`() {
        respond = { request ->
            if (request.method == "GET") {
                ok(WireJson.encodeToString(Configuration.serializer(), Configuration(7)))
            } else {
                ok(WireJson.encodeToString(ApplyAnswer.serializer(), ApplyAnswer(8, emptyList(), applied = true)))
            }
        }
        assertEquals(ExitCode.OK, run("plans apply $directory"))
        val sent = WireJson.decodeFromString(ApplyRequest.serializer(), calls.last().body.orEmpty())
        assertEquals(listOf(7L, "ada", false), listOf(sent.expectedVersion, sent.operator, sent.dryRun))
        assertEquals(listOf("a"), sent.plans.map { it.name })
        assertEquals("http://h:1/v1/configuration", calls.last().url)
        assertEquals("Bearer secret", calls.last().headers["Authorization"])
        assertTrue("  plan a added with 0 kinds" in out, out.toString())
        run("plans apply $directory --expected-version 3 --dry-run --operator eve")
        val second = WireJson.decodeFromString(ApplyRequest.serializer(), calls.last().body.orEmpty())
        assertEquals(listOf(3L, "eve", true), listOf(second.expectedVersion, second.operator, second.dryRun))
    }

    @Test
    fun `faults of both files are reported with their lines and nothing is sent`() {
        writeFile("plans.json", "{\"plans\": [\n{\"name\": \"a\"}]}")
        writeFile("allowances.json", "{\"allowances\": [\n\n{\"plan\": \"a\", \"dataCentre\": \"d\", \"slots\": -1}]}")
        assertEquals(ExitCode.REFUSED, run("plans apply $directory"))
        assertEquals(4, errors.count { it.startsWith("error ") }, errors.toString())
        assertTrue(errors.any { it.endsWith("plans.json:2 plans[0]") }, errors.toString())
        assertTrue(errors.any { it.endsWith("allowances.json:3 allowances[0].slots") }, errors.toString())
    }

    @Test
    fun `marks set before a failure are still printed`() {
        respond = { request ->
            val body = WireJson.decodeFromString(MarkRequest.serializer(), request.body.orEmpty())
            assertEquals(MarkRequest(VmMark.GONE, "ada"), body)
            if (request.url == "http://h:1/v1/vms/v%201/mark") ok("""{"version": 2, "applied": true}""") else STORE_DOWN
        }
        assertEquals(ExitCode.REFUSED, runBlocking { ctl.run(listOf("vm", "gone", "v 1", "v2", "v3", "--json")) })
        assertEquals(2, calls.size)
        assertTrue("\"version\": 2" in out.single())
    }

    @Test
    fun `the idempotency key is printed before the job is sent with it`() {
        respond = {
            assertEquals(listOf("idempotency key: new-key"), errors)
            HttpResult.NoAnswer("reset")
        }
        assertEquals(ExitCode.UNKNOWN, run("job submit --plan a"))
        val sent = calls.single()
        assertEquals("http://h:1/v1/jobs?plan=a", sent.url)
        assertEquals("new-key", sent.headers["Idempotency-Key"])
    }

    @Test
    fun `all pages of the audit are read and the newest entries are shown`() {
        val entries = (1L..5L).map { AuditEntry("ada", it, if (it == 4L) "vm mark" else "plans apply", it, "w$it") }
        respond = { request ->
            val after = request.url.substringAfter("after=").substringBefore("&").substringAfterLast("%2F")
            val page = entries.filter { "%016d-w%d".format(it.atMs, it.atMs) > after }.take(2)
            ok(WireJson.encodeToString(ListSerializer(AuditEntry.serializer()), page))
        }
        assertEquals(ExitCode.OK, run("audit --since 1d --limit 3"))
        assertEquals(
            listOf("vm mark", "plans apply"),
            out.takeLast(2).map {
                it.substringAfter("ada: ").substringBefore(",")
            },
        )
        out.clear()
        assertEquals(ExitCode.OK, run("plans history --since 1970-01-01T00:00:00.001Z --limit 3"))
        assertEquals(listOf("2", "3", "5"), out.map { it.substringAfterLast(" ") })
    }

    @Test
    fun `check detects the type of each file and reports the faults of all files`() {
        val allowance = """"limit": {"processorsMillicores": 1, "memoryBytes": 1}"""
        val bad = writeFile("x.json", """{"allowances": [{"plan": "zz", "dataCentre": "d", $allowance, "slot": 1}]}""")
        assertEquals(ExitCode.OK, run("check $directory/plans.json $directory/allowances.json"))
        assertEquals(ExitCode.REFUSED, run("check $bad"))
        assertEquals(listOf("error 1008"), errors.filter { it.startsWith("error") }.map { it.take(10) })
        errors.clear()
        assertEquals(ExitCode.REFUSED, run("check $directory/plans.json $bad --json"))
        val faults = WireJson.decodeFromString(ListSerializer(Fault.serializer()), errors.single())
        assertEquals(setOf(ResultCode.UNKNOWN_PLAN, ResultCode.UNKNOWN_FIELD), faults.map { it.code }.toSet())
        assertEquals(ExitCode.USAGE, run("check ${writeFile("s.json", """{"port": 1}""")}"))
    }

    private fun run(line: String): ExitCode = runBlocking { ctl.run(line.split(" ").filter { it.isNotEmpty() }) }

    private fun writeFile(name: String, text: String): String = directory.resolve(name).also {
        it.writeText(text)
    }.toString()

    internal companion object {
        private const val JOB = """{"kind": "roster", "size": {"processorsMillicores": 1, "memoryBytes": 1}} // job"""
        private val STORE_DOWN = refusal(ResultCode.STORE_UNAVAILABLE)
        private val HTML_RESPONSE = HttpResult.Answer(502, "<html>bad gateway</html>")

        private fun ok(body: String) = HttpResult.Answer(200, body)

        private fun refusal(code: ResultCode) =
            HttpResult.Answer(code.httpStatus, WireJson.encodeToString(Fault.serializer(), Fault(code, "no")))

        @JvmStatic
        fun exitCodeCases() = listOf(
            Case("status", ExitCode.UNREACHABLE, HttpResult.NotSent("refused"), "refused"),
            Case("status", ExitCode.UNREACHABLE, HttpResult.NoAnswer("timeout"), "timeout"),
            Case("status", ExitCode.UNREACHABLE, HTML_RESPONSE, "bad gateway"),
            Case("status", ExitCode.REFUSED, refusal(ResultCode.UNAUTHORIZED), "error 4003 UNAUTHORIZED"),
            Case("status", ExitCode.REFUSED, refusal(ResultCode.INTERNAL), "5001"),
            Case("job cancel j", ExitCode.UNREACHABLE, HttpResult.NotSent("refused"), "refused"),
            Case("job cancel j", ExitCode.UNKNOWN, HttpResult.NoAnswer("timeout"), "timeout"),
            Case("job cancel j", ExitCode.UNKNOWN, HTML_RESPONSE, "bad gateway"),
            Case("job cancel j", ExitCode.UNKNOWN, refusal(ResultCode.WRITE_UNKNOWN), "3002"),
            Case("job cancel j", ExitCode.REFUSED, refusal(ResultCode.UNKNOWN_JOB), "1010"),
            Case("vm leave v", ExitCode.REFUSED, STORE_DOWN, "2007"),
            Case("vm leave v", ExitCode.OK, ok("""{"version": 2, "applied": false}"""), "in force already"),
            Case("why j", ExitCode.OK, ok("""{"jobId": "j", "reason": "the plan's share is in use"}"""), "share"),
            Case("vm list", ExitCode.OK, ok("[]"), "ACCEPTING"),
            Case("job list --limit 0", ExitCode.USAGE, null, "above 0"),
            Case("status --server nonsense", ExitCode.USAGE, null, "http://HOST:PORT"),
            Case("status --token-file /nowhere", ExitCode.USAGE, null, "no such file"),
            Case("audit --since soon", ExitCode.USAGE, null, "12h"),
            Case("plans aply", ExitCode.USAGE, null, "apply, diff"),
            Case("plans apply --expected-version x", ExitCode.USAGE, null, "--expected-version N"),
            Case("job submit --plan a --dry-run", ExitCode.OK, null, "well formed"),
            Case("vm", ExitCode.USAGE, null, "join, leave"),
        )
    }
}
