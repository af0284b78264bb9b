/** The three examples of docs/OPERATIONS.md that lead from a job id to the cause of a refusal, a delay or a failure. */
package dev.bronzeshore.ctl

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val JOB = "694aff76fce7d256"

/** Guards against a trace that does not find the cause of a refused, late or failed job in the logs. */
class JobTraceTest {
    data class TraceCase(val name: String, val log: List<String>, val causes: List<String>) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `finds the causes of a job in the logs`(case: TraceCase) {
        val lines = case.log.mapNotNull { LogLine.parse(it, "file") }
        assertEquals(case.log.size, lines.size)
        assertEquals(case.causes, JobTrace(lines.sortedBy { it.atMs }, JOB).causes())
    }

    @Test
    fun `ignores lines that are not complete events`() {
        assertNull(LogLine.parse("2026-01-02 INFO started", "file"))
        assertNull(LogLine.parse("""{"at_ms":17,"part":"intake","ev""", "file"))
    }

    companion object {
        private fun line(atMs: Long, process: String, part: String, event: String, fields: String) =
            """  1.5 $process 2026-01-02T19:00:35.533 INFO {"at_ms":$atMs,"part":"$part","event":"$event",$fields}"""

        private fun schedulerLine(atMs: Long, event: String, fields: String) =
            line(atMs, "n1", "scheduler", event, fields)

        private val refusedLog = listOf(
            line(900, "n2", "store", "lost", """"cause":"status 429","since_success_ms":500"""),
            line(1_000, "n1", "store", "lost", """"cause":"status 503","since_success_ms":505"""),
            line(1_400, "n1", "intake", "submission", REJECTED_OUTCOME),
        )

        private const val REJECTED_OUTCOME =
            """"job":"$JOB","outcome":"Rejected(reason=status 503, retryAfterMs=1000, isOverload=false)""""

        private const val MEMORY_OUTCOME =
            """"job":"$JOB","outcome":"Rejected(code=MEMORY_FULL, reason=no memory is free, retryAfterMs=5000)""""

        private val lateLog = listOf(
            schedulerLine(1_000, "job_known", """"job":"$JOB","age_ms":19"""),
            schedulerLine(1_300, "recovery_complete", """"term":2"""),
            schedulerLine(1_700, "advice", """"step":"$JOB.0.0","asked":30,"good":8"""),
            schedulerLine(1_750, "start", """"task":"$JOB.0.0.9","run":1,"worker":"w1","result":"STARTED""""),
            schedulerLine(1_760, "start", """"task":"$JOB.0.0.8","run":1,"worker":"w2","result":"STARTED""""),
            schedulerLine(2_000, "run_ended", """"task":"$JOB.0.0.8","run":1,"worker":"w2","end":"DONE""""),
            schedulerLine(4_750, "run_ended", """"task":"$JOB.0.0.9","run":1,"worker":"w1","end":"DONE""""),
            schedulerLine(
                4_751,
                "job_ended",
                """"job":"$JOB","phase":"COMPLETED","duration_ms":3770,"objective_ms":3000""",
            ),
        )

        private val failedLog = listOf(
            schedulerLine(1_000, "run_ended", """"task":"$JOB.0.0.1","run":1,"worker":"w1","end":"FAILED""""),
            schedulerLine(1_200, "run_ended", """"task":"$JOB.0.0.1","run":2,"worker":"w2","end":"FAILED""""),
            schedulerLine(
                1_201,
                "job_ended",
                """"job":"$JOB","phase":"FAILED","reason":"task $JOB.0.0.1 failed 2 times"""",
            ),
        )

        @JvmStatic
        fun cases(): List<TraceCase> = listOf(
            TraceCase(
                "refused for want of memory",
                listOf(
                    line(900, "n1", "store", "lost", """"cause":"status 503","since_success_ms":505"""),
                    line(1_400, "n1", "intake", "memory_refused", MEMORY_OUTCOME),
                ),
                listOf("Refused by n1: no memory is free."),
            ),
            TraceCase(
                "late at its account's limit",
                listOf(
                    schedulerLine(1_000, "job_known", """"job":"$JOB","age_ms":19"""),
                    schedulerLine(1_010, "limit_reached", """"job":"$JOB","step":"$JOB.0.0","account":"a""""),
                    schedulerLine(3_000, "load", """"used_percent":97"""),
                    schedulerLine(4_000, "start", """"task":"$JOB.0.0.9","run":1,"worker":"w1","result":"STARTED""""),
                    schedulerLine(
                        5_000,
                        "job_ended",
                        """"job":"$JOB","phase":"COMPLETED","duration_ms":4000,"objective_ms":3000""",
                    ),
                ),
                listOf(
                    "Late by 1000 ms.",
                    "Its first start came 3000 ms after it was known; account a was at its limit; the workers were " +
                        "used to 97 %.",
                ),
            ),
            TraceCase(
                "refused",
                refusedLog,
                listOf("Refused by n1: status 503. The store had not served this process for 400 ms: status 503."),
            ),
            TraceCase(
                "late",
                lateLog,
                listOf(
                    "Late by 770 ms.",
                    "Its first start came 750 ms after it was known; permission was given after 700 ms; " +
                        "a takeover lasted until 300 ms.",
                    "Its longest run took 3000 ms on worker w1.",
                ),
            ),
            TraceCase(
                "failed",
                failedLog,
                listOf("Failed: task $JOB.0.0.1 failed 2 times. Failed runs by worker: w1 1, w2 1."),
            ),
        )
    }
}
