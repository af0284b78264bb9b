package dev.bronzeshore.plans

import dev.bronzeshore.core.Fault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Guards against faults in the operators' files that are missed, reported one by one, or without a location. */
class ListReadersTest {
    internal data class Case(val name: String, val text: String, val expected: List<String>) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("planCases")
    internal fun `faults in plans`(case: Case) {
        val faults = PlanListReader().read("plans.json", case.text).leftOrNull().orEmpty()
        assertEquals(case.expected, faults.map(::summary))
        assertTrue(faults.all { !it.accepted.isNullOrBlank() })
    }

    @ParameterizedTest
    @MethodSource("allowanceCases")
    internal fun `faults in allowances`(case: Case) {
        val faults = AllowanceListReader(setOf("utility")).read("allowances.json", case.text).leftOrNull().orEmpty()
        assertEquals(case.expected, faults.map(::summary))
        assertTrue(faults.all { !it.accepted.isNullOrBlank() })
    }

    @Test
    fun `a plain token in place of its hash is not repeated in the message`() {
        val text = """{"plans": [{"name": "utility", "tokenSha256": "open-sesame", "kinds": []}]}"""
        val faults = PlanListReader().read("plans.json", text).leftOrNull().orEmpty()
        assertEquals(1, faults.size)
        assertFalse("open-sesame" in faults.toString())
    }

    @Test
    fun `a damaged file never causes an exception, and each fault has a location`() {
        val valid = """{"plans": [ // x\n {"name": "a", "tokenSha256": "$HASH", "kinds": [{"name": "k"}]}]}"""
        val random = Random(1)
        repeat(5_000) {
            val damaged = StringBuilder(valid)
            repeat(1 + random.nextInt(3)) {
                val at = random.nextInt(damaged.length)
                damaged.replace(at, at + random.nextInt(2), "{}[]\",:/*\\\n1a ".random(random).toString())
            }
            val faults = PlanListReader().read("f", damaged.toString()).leftOrNull().orEmpty()
            assertTrue(faults.all { fault -> fault.place.orEmpty().startsWith("f:") }, "$damaged: $faults")
        }
    }

    private fun summary(fault: Fault) = "${fault.code.number} ${fault.place}"

    internal companion object {
        private const val HASH = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

        @JvmStatic
        fun planCases() = listOf(
            Case(
                "comments and trailing commas are accepted",
                "// all\n{\"plans\": [{\"name\": \"Sølv\", /* x */ \"tokenSha256\": \"$HASH\", \"kinds\": []},]}",
                emptyList(),
            ),
            Case(
                "all faults at once",
                """
                {"plans": [
                  {"name": "utility", "tokenSha256": "$HASH", "kinds": [
                    {"name": "roster", "policy": "GANG", "weight": -1},
                    {"name": "roster", "policy": "SOMETIMES"},
                    {"name": "plan", "policy": "BATCH", "weight": 99999999999},
                    {"name": 7, "policy": "BATCH", "wait": 1}
                  ]},
                  {"name": "utility", "tokenSha256": "$HASH", "kinds": {}, "kinds": []},
                  {"name": "no space", "kinds": []}
                ]}
                """.trimIndent(),
                listOf(
                    "1005 plans.json:3 plans[0].kinds[0].weight",
                    "1012 plans.json:4 plans[0].kinds[1].policy",
                    "1007 plans.json:4 plans[0].kinds[1].name",
                    "1005 plans.json:5 plans[0].kinds[2].weight",
                    "1012 plans.json:6 plans[0].kinds[3].name",
                    "1008 plans.json:6 plans[0].kinds[3].wait",
                    "1007 plans.json:8 plans[1].kinds",
                    "1007 plans.json:8 plans[1].name",
                    "1007 plans.json:8 plans[1].tokenSha256",
                    "1012 plans.json:9 plans[2].name",
                    "1011 plans.json:9 plans[2]",
                ),
            ),
            Case("not an object", "[]", listOf("1012 plans.json:1 (document)")),
            Case("empty", "{}", listOf("1011 plans.json:1 (document)")),
            Case("broken syntax", "{\"plans\":\n [}", listOf("1001 plans.json:2")),
            Case("text after the end", "{\"plans\": []}\n}", listOf("1001 plans.json:2")),
        )

        @JvmStatic
        fun allowanceCases() = listOf(
            Case(
                "a line comment with brackets does not change line numbers",
                "{\"allowances\": [ // ]}\n{\"plan\": \"utility\", \"dataCentre\": \"a\",\n" +
                    "\"limit\": {\"processorsMillicores\": -1, \"memoryBytes\": 0}}]}",
                listOf("1005 allowances.json:3 allowances[0].limit.processorsMillicores"),
            ),
            Case(
                "all faults at once",
                """
                {"allowances": [
                  {"plan": "utility", "dataCentre": "a", "limit": {"processorsMillicores": 1.5, "memoryBytes": 0}},
                  {"plan": "utility", "dataCentre": "a", "limit": {"processorsMillicores": 1, "memoryBytes": "0"}},
                  {"plan": "other", "dataCentre": "a", "limit": null, "slots": -1},
                  {"plan": "utility", "dataCentre": "b",
                   "limit": {"processorsMillicores": 0, "memoryBytes": 9223372036854775808}},
                  {"dataCentre": "b", "limit": {"processorsMillicores": 0}, "weight": 0, "slots": true}
                ]}
                """.trimIndent(),
                listOf(
                    "1012 allowances.json:2 allowances[0].limit.processorsMillicores",
                    "1012 allowances.json:3 allowances[1].limit.memoryBytes",
                    "1007 allowances.json:3 allowances[1]",
                    "1012 allowances.json:4 allowances[2].limit",
                    "1005 allowances.json:4 allowances[2].slots",
                    "1003 allowances.json:4 allowances[2].plan",
                    "1005 allowances.json:6 allowances[3].limit.memoryBytes",
                    "1011 allowances.json:7 allowances[4].limit",
                    "1005 allowances.json:7 allowances[4].weight",
                    "1012 allowances.json:7 allowances[4].slots",
                    "1011 allowances.json:7 allowances[4]",
                ),
            ),
            Case(
                "the sum over data centres overflows",
                """
                {"allowances": [
                  {"plan": "utility", "dataCentre": "a",
                   "limit": {"processorsMillicores": 0, "memoryBytes": 9223372036854775807}},
                  {"plan": "utility", "dataCentre": "b", "limit": {"processorsMillicores": 0, "memoryBytes": 1}}
                ]}
                """.trimIndent(),
                listOf("1005 allowances.json:4 allowances[1].limit.memoryBytes"),
            ),
        )
    }
}
