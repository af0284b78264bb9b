package dev.bronzeshore.plans

import dev.bronzeshore.core.AUDIT_PREFIX
import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.VmMark
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against configuration changes that are lost, applied twice, or reported with the wrong result. */
class ConfigurationWriterTest {
    private val table = FakeTable()
    private val accepted = mutableListOf<Configuration>()
    private var writes = 0
    private val writer = ConfigurationWriter(table.api, { 1_700 }, { "w${++writes}" }, accepted::add, {})

    internal data class Case(
        val name: String,
        val behaviors: List<WriteBehavior>,
        val otherWriter: Boolean,
        val expected: Any,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("lostResponses")
    internal fun `a write whose response was lost is resolved`(case: Case) = runBlocking {
        table.behaviors += case.behaviors
        if (case.otherWriter) {
            table.afterWrite = { otherWriter().apply(request(null, "other")) }
        }
        val response = writer.apply(request(0, "utility")).fold({ it.code }, { it.version })
        assertEquals(case.expected, response)
        val ours = table.rows.values.count { it.key.startsWith(AUDIT_PREFIX) && it.key.endsWith("-w1") }
        assertEquals(if (case.expected is Long) 1 else 0, ours)
    }

    @Test
    fun `a version conflict reports both versions`() = runBlocking {
        writer.apply(request(0, "a"))
        val fault = writer.apply(request(0, "b")).leftOrNull()
        assertEquals(ResultCode.VERSION_CONFLICT, fault?.code)
        assertEquals("Expected version 0, but the current version is 1.", fault?.message)
    }

    @Test
    fun `the same content again is a success without a new version`() = runBlocking {
        val first = writer.apply(request(0, "a"))
        assertEquals(ApplyAnswer(1, listOf("plan a added with 0 kinds"), true), first.getOrNull())
        for (expected in listOf(0L, 1L, null)) {
            assertEquals(ApplyAnswer(1, emptyList(), false), writer.apply(request(expected, "a")).getOrNull())
        }
        assertEquals(ResultCode.VERSION_CONFLICT, writer.apply(request(2, "a")).leftOrNull()?.code)
        assertEquals(listOf(1L), accepted.map { it.version })
    }

    @Test
    fun `a dry run and an invalid list write nothing`() = runBlocking {
        val dryRun = writer.apply(request(0, "a").copy(dryRun = true))
        assertEquals(ApplyAnswer(0, listOf("plan a added with 0 kinds"), false), dryRun.getOrNull())
        val twice = request(0, "a").let { it.copy(plans = it.plans + it.plans) }
        assertEquals(ResultCode.DUPLICATE_KEY, writer.apply(twice).leftOrNull()?.code)
        assertEquals(ResultCode.MISSING_FIELD, writer.apply(request(0, "a").copy(operator = " ")).leftOrNull()?.code)
        assertEquals(0, table.rows.size)
    }

    @Test
    fun `marks survive an apply and a concurrent write`() = runBlocking {
        writer.mark("vm1", MarkRequest(VmMark.JOINING, "ada"))
        // The other operator writes between the read and the write of this one.
        val racing = ConfigurationWriter(table.api, { 1 }, { "x${++writes}" }, {}, {})
        val slowTable = raceOnce { racing.apply(request(1, "a")) }
        val slow = ConfigurationWriter(slowTable, { 2 }, { "y${++writes}" }, {}, {})
        assertEquals(3, slow.mark("vm1", MarkRequest(VmMark.LEAVING, "ada")).getOrNull()?.version)
        val now = ConfigurationRow.decode(table.rows[ConfigurationRow.KEY]).getOrNull()
        assertEquals(listOf(MarkedVm("vm1", VmMark.LEAVING)), now?.marks)
        assertEquals(listOf("a"), now?.plans?.map { it.name })
    }

    private fun raceOnce(other: suspend () -> Unit): TableApi {
        var pending = true
        return TableApi(table.api.read, table.api.readRange) { transaction ->
            if (pending) {
                pending = false
                other()
            }
            table.api.write(transaction)
        }
    }

    private fun otherWriter() = ConfigurationWriter(table.api, { 1_700 }, { "other" }, {}, {})

    private fun request(expected: Long?, plan: String) =
        ApplyRequest(expected, listOf(Plan(plan, hash(plan), emptyList())), emptyList(), "ada")

    private fun hash(plan: String) = plan.hashCode().toUInt().toString(16).padStart(64, '0')

    internal companion object {
        @JvmStatic
        fun lostResponses(): List<Case> {
            val responseLost = WriteBehavior.RESPONSE_LOST
            val requestLost = WriteBehavior.REQUEST_LOST
            val unavailable = WriteBehavior.UNAVAILABLE
            return listOf(
                Case("down: not run", listOf(unavailable), false, ResultCode.STORE_UNAVAILABLE),
                Case("lost after the write", listOf(responseLost), false, 1L),
                Case("lost before the write", listOf(requestLost), false, 1L),
                Case("lost, then down, then back", listOf(requestLost, unavailable), false, 1L),
                Case("lost before, then another write", listOf(requestLost), true, ResultCode.VERSION_CONFLICT),
                Case("lost after, then another write", listOf(responseLost), true, 1L),
                Case("never resolved", List(5) { requestLost }, false, ResultCode.WRITE_UNKNOWN),
            )
        }
    }
}
