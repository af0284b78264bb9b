package dev.bronzeshore.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a worker that fails everything, and against a quarantine that takes the fleet away. */
class QuarantineTest {
    internal data class Case(val name: String, val expected: String, val steps: Steps.() -> Unit) {
        override fun toString() = name
    }

    internal class Steps {
        var nowMs = 1_000L
        val quarantine = Quarantine({ nowMs }).also { it.setWorkers((1..20).map { n -> "w$n" }.toSet()) }

        fun fail(worker: String, vararg jobs: String) = jobs.forEach { quarantine.recordFailure(worker, it) }

        fun succeed(worker: String, vararg jobs: String) = jobs.forEach { quarantine.recordSuccess(worker, it) }

        fun quarantinedW1() = fail("w1", "a", "b", "c")

        fun later(ms: Long) {
            nowMs += ms
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `workers enter and leave quarantine`(case: Case) {
        val steps = Steps().apply(case.steps)
        val shown =
            steps.quarantine.quarantined().map {
                val accepts = if (steps.quarantine.accepts(it.workerId)) "accepts" else "refuses"
                "${it.workerId} until ${it.untilMs} $accepts"
            }
        assertEquals(case.expected, shown.joinToString(", "))
    }

    @Test
    fun `a failure of all jobs everywhere takes at most a tenth of any fleet`() {
        for ((workers, most) in listOf(1 to 1, 9 to 1, 10 to 1, 30 to 3, 800 to 80)) {
            val quarantine = Quarantine({ 0 })
            val ids = (1..workers).map { "w$it" }
            quarantine.setWorkers(ids.toSet())
            for (id in ids) {
                (1..5).forEach { quarantine.recordFailure(id, "$id-job$it") }
            }
            quarantine.quarantinePending()
            assertEquals(most, quarantine.quarantined().size, "$workers workers")
            assertEquals(workers - most, ids.count(quarantine::accepts))
        }
    }

    @Test
    fun `a wave of broken jobs does not fill the memory`() {
        var nowMs = 0L
        val evidence = FailureEvidence({ nowMs })
        repeat(20_000) { evidence.recordFailure("w${it % 30}", "job$it") }
        assertTrue(evidence.jobCount <= FailureEvidence.MAX_JOBS)
        nowMs = FailureEvidence.COUNTS_FOR_MS
        evidence.recordFailure("w1", "last")
        assertEquals(1, evidence.jobCount)
    }

    internal companion object {
        private const val REST_MS = Quarantine.QUARANTINE_MS

        @JvmStatic
        fun cases() = listOf(
            Case("two jobs are not enough, however often they fail", "") { fail("w1", "a", "b", "a", "b") },
            Case("three jobs that failed nowhere else", "w1 until 301000 refuses") { quarantinedW1() },
            Case("jobs that fail elsewhere speak against nobody", "") {
                fail("w2", "a", "b", "c")
                fail("w1", "a", "b", "c")
            },
            Case("jobs that succeed on more workers than they fail on", "w1 until 301000 refuses") {
                fail("w3", "a")
                fail("w1", "a", "b")
                succeed("w4", "a")
                succeed("w5", "a")
                fail("w1", "c")
            },
            Case("a worker is released when its jobs turn out to be broken", "") {
                quarantinedW1()
                fail("w2", "a")
            },
            Case("failures an hour apart do not add up", "") {
                fail("w1", "a", "b")
                later(FailureEvidence.COUNTS_FOR_MS)
                fail("w1", "c")
            },
            Case("the deadline offers a probe", "w1 until 301000 accepts") {
                quarantinedW1()
                later(REST_MS)
            },
            Case("only one probe is started", "w1 until 601000 refuses") {
                quarantinedW1()
                later(REST_MS)
                quarantine.recordStart("w1", "d")
            },
            Case("a task that still ran ends without effect on the rest", "w1 until 301000 refuses") {
                quarantinedW1()
                succeed("w1", "d")
                fail("w1", "e")
                quarantine.recordStart("w1", "d")
            },
            Case("a probe that succeeds releases", "") {
                quarantinedW1()
                later(REST_MS)
                quarantine.recordStart("w1", "d")
                succeed("w1", "d")
                fail("w1", "x", "y")
            },
            Case("an older task that succeeds during the probe does not release", "w1 until 601000 refuses") {
                quarantinedW1()
                later(REST_MS)
                quarantine.recordStart("w1", "d")
                quarantine.recordStart("w1", "old")
                succeed("w1", "old")
            },
            Case("a probe that fails starts over", "w1 until 601010 refuses") {
                quarantinedW1()
                later(REST_MS)
                quarantine.recordStart("w1", "d")
                later(10)
                fail("w1", "d")
            },
            Case("a probe that keeps running releases", "") {
                quarantinedW1()
                later(REST_MS)
                quarantine.recordStart("w1", "d")
                later(Quarantine.PROBE_MS)
            },
            Case(
                "two of twenty at most; the third waits for room",
                "w2 until 301000 refuses, w3 until 301000 refuses",
            ) {
                quarantinedW1()
                fail("w2", "d", "e", "f")
                fail("w3", "g", "h", "i")
                assertTrue(quarantine.accepts("w3"))
                fail("w9", "a")
                quarantine.quarantinePending()
            },
            Case("a worker that left and came back starts anew", "") {
                quarantinedW1()
                quarantine.setWorkers(setOf("w2"))
                quarantine.setWorkers(setOf("w1", "w2"))
                fail("w1", "d", "e")
            },
            Case("failures on unknown workers are ignored", "") { fail("x", "a", "b", "c") },
        )
    }
}
