/** Evidence for runs that stand still. */
package dev.bronzeshore.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class RunProgressTest {
    internal data class Case(
        val name: String,
        val reports: List<Pair<Int, RunEvidence>>,
        val stalledForMs: Long,
        val percent: Int,
    ) {
        override fun toString() = name
    }

    /** Guards against stalls that are concluded from the leader's own time instead of the worker's reports. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a stall is measured on the worker's clock between reports`(case: Case) {
        val progress = RunProgress()
        case.reports.forEach { (percent, evidence) -> progress.observe(percent, evidence) }
        assertEquals(case.stalledForMs, progress.stalledForMs())
        assertEquals(case.percent, progress.percent)
    }

    companion object {
        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("no report", emptyList(), 0, 0),
            Case("one report", listOf(0 to RunEvidence(10_000, 500)), 0, 0),
            Case(
                "a late report without progress since a short time",
                listOf(0 to RunEvidence(10_000, 500), 0 to RunEvidence(19_000, 900)),
                400,
                0,
            ),
            Case(
                "progress after a pause of the leader",
                listOf(5 to RunEvidence(10_000, 500), 60 to RunEvidence(19_000, 9_500)),
                0,
                60,
            ),
            Case(
                "no progress for long",
                listOf(5 to RunEvidence(10_000, 500), 5 to RunEvidence(13_000, 3_500)),
                3_000,
                5,
            ),
            Case(
                "a report that arrives out of order",
                listOf(50 to RunEvidence(10_000, 500), 40 to RunEvidence(10_001, 450)),
                -50,
                50,
            ),
        )
    }
}
