package dev.bronzeshore.plans

import dev.bronzeshore.core.AUDIT_PREFIX
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.WireJson
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against a false response: a change that is reported as made without its audit row, or one that is reported as
 * not made although it was. Writers run concurrently while responses are lost and reads are stale.
 */
class ConfigurationRaceTest {
    private class CallResult(val operator: String, val applied: Boolean, val code: ResultCode)

    @Test
    fun `responses are true while writers race and responses are lost`() {
        val outcomes = (0 until SEEDS).flatMap { seed -> race(Random(seed)) }.groupingBy { it }.eachCount()
        // The faults must be frequent enough to reach every outcome, or the test would prove nothing.
        assertEquals(Outcome.entries.toSet(), outcomes.keys)
    }

    private fun race(random: Random): List<Outcome> {
        val table = FakeTable()
        table.staleRead = { random.nextInt(4) == 0 }
        table.conditionOrder = { if (random.nextBoolean()) it else it.reversed() }
        repeat(200) { table.behaviors += BEHAVIORS.random(random) }
        val results = ArrayList<CallResult>()
        runBlocking {
            repeat(WRITERS) { n ->
                launch { repeat(CALLS) { call -> results += call(table, random, "op$n-$call") } }
            }
        }
        check(table, results)
        return results.map { it.code.outcome }
    }

    private suspend fun call(table: FakeTable, random: Random, operator: String): CallResult {
        var writes = 0
        val writer = ConfigurationWriter(table.api, { 1 }, { "$operator-${++writes}" }, {}, {})
        val response =
            if (random.nextBoolean()) {
                writer.mark("vm${random.nextInt(3)}", MarkRequest(VmMark.entries.random(random), operator))
            } else {
                val plan = Plan("p${random.nextInt(3)}", "0".repeat(64), emptyList())
                writer.apply(ApplyRequest(null, listOf(plan), emptyList(), operator))
            }
        return response.fold(
            { CallResult(operator, false, it.code) },
            { CallResult(operator, it.applied, ResultCode.OK) },
        )
    }

    private fun check(table: FakeTable, results: List<CallResult>) {
        val audit =
            table.rows.values
                .filter { it.key.startsWith(AUDIT_PREFIX) }
                .map { WireJson.decodeFromString(AuditEntry.serializer(), it.value) }
        // One audit row for each version, and none twice.
        val versions = audit.map { it.version }.sorted()
        assertEquals((1L..(table.rows[ConfigurationRow.KEY]?.version ?: 0)).toList(), versions)
        val operators = audit.groupingBy { it.operator }.eachCount()
        for (call in results) {
            val rows = operators[call.operator] ?: 0
            when (call.code.outcome) {
                Outcome.DONE -> assertEquals(if (call.applied) 1 else 0, rows, call.operator)
                Outcome.NOT_RUN -> assertEquals(0, rows, "${call.operator} ${call.code}")
                Outcome.UNKNOWN -> assertTrue(rows <= 1, call.operator)
            }
        }
    }

    private companion object {
        val BEHAVIORS = List(7) { WriteBehavior.NORMAL } + WriteBehavior.entries.minus(WriteBehavior.NORMAL)
        const val SEEDS = 300
        const val WRITERS = 4
        const val CALLS = 5
    }
}
