/** Which processes and workers become voters. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.WorkerIncarnation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val OWN = "a"

class VoterSelectionTest {
    /** Names are single letters; [silent] ones have not answered for the given time, [others] just have. */
    data class Case(
        val name: String,
        val stored: String?,
        val others: String,
        val silent: Map<Char, Long>,
        val selected: String,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `guards against voters that leave two halves, or most of which are lost`(case: Case) {
        val silenceMs = case.others.associate { "$it" to 0L } + case.silent.mapKeys { "${it.key}" }
        val stored = case.stored?.map { "$it" }?.toSet()
        assertEquals(case.selected.map { "$it" }.toSet(), selectVoters(OWN, stored, silenceMs))
    }

    /** [answering] workers have just answered, [silent] ones not for the given time; names are single letters. */
    data class WorkerCase(
        val name: String,
        val stored: String,
        val answering: String,
        val silent: Map<Char, Long>,
        val selected: String,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("workerCases")
    fun `guards against workers that vote although they are lost, or too few of them`(case: WorkerCase) {
        val silenceMs = case.answering.associate { workerOf(it) to 0L } + case.silent.mapKeys { workerOf(it.key) }
        val selected = selectWorkerVoters(case.stored.mapTo(HashSet()) { workerOf(it) }, silenceMs)
        assertEquals(case.selected.mapTo(HashSet()) { workerOf(it) }, selected)
    }

    companion object {
        private const val WORKER_LOST = WORKER_LOST_AFTER_MS

        private fun workerOf(name: Char) = WorkerIncarnation("$name", startedAtMs = 1)

        private val MANY = CharRange('A', 'A' + MAX_WORKER_VOTERS + 1).joinToString("")

        @JvmStatic
        fun workerCases(): List<Any> = listOf(
            WorkerCase("none", "", "", emptyMap(), ""),
            WorkerCase("two workers", "", "ab", emptyMap(), ""),
            WorkerCase("three workers", "", "abc", emptyMap(), "abc"),
            WorkerCase("a worker joins", "bcd", "abcd", emptyMap(), "bcd"),
            WorkerCase("two workers join", "bcd", "abcde", emptyMap(), "abcde"),
            WorkerCase("more than fit", "", MANY, emptyMap(), MANY.take(MAX_WORKER_VOTERS)),
            WorkerCase("one was silent for a short time", "abc", "ab", mapOf('c' to WORKER_LOST - 1), "abc"),
            WorkerCase("one is lost and replaced", "abc", "abd", mapOf('c' to WORKER_LOST), "abd"),
            WorkerCase("most are silent", "abcde", "ab", "cde".associateWith { WORKER_LOST }, "abcde"),
            WorkerCase("most are lost for long", "abcde", "abfg", "cde".associateWith { LONG_LOST }, "abf"),
        )

        private val LOST = VOTER_LOST_AFTER_MS
        private val LONG_LOST = MAJORITY_LOST_AFTER_MS

        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("a single process", null, "", emptyMap(), "a"),
            Case("two processes", null, "b", emptyMap(), "b"),
            Case("three processes", null, "bc", emptyMap(), "abc"),
            Case("six processes", null, "bcdef", emptyMap(), "bcdef"),
            Case("one joins", "abc", "bcd", emptyMap(), "bcd"),
            Case("one was silent for a short time", "abc", "b", mapOf('c' to LOST - 1), "abc"),
            Case("one is lost", "abc", "b", mapOf('c' to LOST), "b"),
            Case("two of five are lost", "abcde", "bc", mapOf('d' to LOST, 'e' to LOST), "abc"),
            Case("most are silent", "abcde", "b", "cde".associateWith { LOST }, "abcde"),
            Case("most are lost for long", "abcde", "b", "cde".associateWith { LONG_LOST }, "b"),
            Case("the leader is no voter, and most are silent", "bcdef", "b", "cdef".associateWith { LOST }, "bcdef"),
        )
    }
}
