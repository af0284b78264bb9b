package dev.bronzeshore.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a faulty worker that fails all jobs, and against a quarantine of too many workers. */
class QuarantineTest {
    internal data class Case(val name: String, val expected: String, val steps: Steps.() -> Unit) {
        override fun toString() = name
    }

    internal class Steps {
        var nowMs = 1_000L
        val quarantine = Quarantine({ nowMs }).also { it.setWorkers((1..20).map { n -> "w$n" }.toSet()) }

        fun fail(worker: String, vararg jobs: String) = jobs.forEach { quarantine.recordFailure(worker, it) }

        fun succeed(worker: String, vararg jobs: String) = jobs.forEach { quarantine.recordSuccess(worker, it) }

        fun quarantineW1() = fail("w1", "a", "b", "c")

        fun advance(ms: Long) {
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
    fun `at most a tenth of the workers is quarantined if all jobs fail everywhere`() {
        for ((workers, maxQuarantined) in listOf(1 to 1, 9 to 1, 10 to 1, 30 to 3, 800 to 80)) {
            val quarantine = Quarantine({ 0 })
            val ids = (1..workers).map { "w$it" }
            quarantine.setWorkers(ids.toSet())
            for (id in ids) {
                (1..5).forEach { quarantine.recordFailure(id, "$id-job$it") }
            }
            quarantine.quarantinePending()
            assertEquals(maxQuarantined, quarantine.quarantined().size, "$workers workers")
            assertEquals(workers - maxQuarantined, ids.count(quarantine::accepts))
        }
    }

    @Test
    fun `the number of tracked jobs is limited and failures expire, guards against unbounded memory`() {
        var nowMs = 0L
        val failures = FailureTracker({ nowMs })
        repeat(20_000) { failures.recordFailure("w${it % 30}", "job$it") }
        assertTrue(failures.jobCount <= FailureTracker.MAX_JOBS)
        nowMs = FailureTracker.FAILURE_WINDOW_MS
        failures.recordFailure("w1", "last")
        assertEquals(1, failures.jobCount)
    }

    internal companion object {
        private const val QUARANTINE_MS = Quarantine.QUARANTINE_MS

        @JvmStatic
        fun cases() = listOf(
            Case("two jobs are not enough, however often they fail", "") { fail("w1", "a", "b", "a", "b") },
            Case("three jobs that failed nowhere else", "w1 until 301000 refuses") { quarantineW1() },
            Case("jobs that fail elsewhere implicate no worker", "") {
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
            Case("a worker is released when its jobs also fail elsewhere", "") {
                quarantineW1()
                fail("w2", "a")
            },
            Case("failures expire after an hour", "") {
                fail("w1", "a", "b")
                advance(FailureTracker.FAILURE_WINDOW_MS)
                fail("w1", "c")
            },
            Case("a worker accepts a probe at its deadline", "w1 until 301000 accepts") {
                quarantineW1()
                advance(QUARANTINE_MS)
            },
            Case("only one probe is started", "w1 until 601000 refuses") {
                quarantineW1()
                advance(QUARANTINE_MS)
                quarantine.recordStart("w1", "d")
            },
            Case("a task that was started before the quarantine has no effect on it", "w1 until 301000 refuses") {
                quarantineW1()
                succeed("w1", "d")
                fail("w1", "e")
                quarantine.recordStart("w1", "d")
            },
            Case("a probe that succeeds releases the worker", "") {
                quarantineW1()
                advance(QUARANTINE_MS)
                quarantine.recordStart("w1", "d")
                succeed("w1", "d")
                fail("w1", "x", "y")
            },
            Case("another task that succeeds during the probe does not release the worker", "w1 until 601000 refuses") {
                quarantineW1()
                advance(QUARANTINE_MS)
                quarantine.recordStart("w1", "d")
                quarantine.recordStart("w1", "old")
                succeed("w1", "old")
            },
            Case("a probe that fails restarts the quarantine", "w1 until 601010 refuses") {
                quarantineW1()
                advance(QUARANTINE_MS)
                quarantine.recordStart("w1", "d")
                advance(10)
                fail("w1", "d")
            },
            Case("a probe that runs long enough releases the worker", "") {
                quarantineW1()
                advance(QUARANTINE_MS)
                quarantine.recordStart("w1", "d")
                advance(Quarantine.PROBE_MS)
            },
            Case(
                "two of twenty at most; the third waits until one is released",
                "w2 until 301000 refuses, w3 until 301000 refuses",
            ) {
                quarantineW1()
                fail("w2", "d", "e", "f")
                fail("w3", "g", "h", "i")
                assertTrue(quarantine.accepts("w3"))
                fail("w9", "a")
                quarantine.quarantinePending()
            },
            Case("a worker that left and came back has no recorded failures", "") {
                quarantineW1()
                quarantine.setWorkers(setOf("w2"))
                quarantine.setWorkers(setOf("w1", "w2"))
                fail("w1", "d", "e")
            },
            Case("failures on unknown workers are ignored", "") { fail("x", "a", "b", "c") },
        )
    }
}
