/** Periods that include the suspension of the machine, and are never too short. */
package dev.bronzeshore.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class ElapsedClockTest {
    /** Readings of both clocks after each other, and the elapsed time that is told for the last one. */
    data class Case(val name: String, val readings: List<Pair<Long, Long>>, val elapsedMs: Long) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `guards against a suspension that makes a period seem short`(case: Case) {
        var monotonicMs = 0L
        var wallMs = 0L
        val clock = ElapsedClock({ monotonicMs }, { wallMs })
        val startMs = clock.nowMs()
        case.readings.forEach { (monotonic, wall) ->
            monotonicMs = monotonic
            wallMs = wall
            clock.nowMs()
        }
        assertEquals(case.elapsedMs, clock.nowMs() - startMs)
    }

    companion object {
        @JvmStatic
        fun cases() = listOf(
            Case("both clocks run", listOf(100L to 100L, 900L to 900L), 900),
            Case("the machine is suspended", listOf(100L to 100L, 110L to 4_110L), 4_110),
            Case("it is suspended often for a short time", (1L..10L).map { it * 100 to it * 140 }, 1_400),
            Case("it is suspended twice", listOf(10L to 1_010L, 20L to 2_020L), 2_020),
            Case("the wall clock is set forward", listOf(100L to 60_100L), 60_100),
            Case("the wall clock is set back", listOf(100L to -5_000L, 200L to -4_900L), 200),
            Case("it is set back and the machine is suspended later", listOf(100L to -900L, 200L to 1_200L), 2_200),
            Case("the wall clock is adjusted slowly", listOf(1_000L to 1_020L, 2_000L to 2_040L), 2_000),
        )
    }
}
