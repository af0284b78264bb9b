package dev.bronzeshore.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ClockTest {
    @Test
    fun `a clock is a plain function`() {
        val clock: ClockMs = { 5 }
        assertEquals(5, clock())
    }
}
