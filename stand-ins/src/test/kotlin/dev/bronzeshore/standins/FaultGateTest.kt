package dev.bronzeshore.standins

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

/** Guards against faults that differ between two runs with the same settings. */
class FaultGateTest {
    private val gate = FaultGate()

    @Test
    fun `without faults no answer is dropped`() {
        assertEquals(0, drops(Faults()).size)
    }

    @Test
    fun `every Nth answer is dropped, counted from the last change of faults`() {
        val faults = Faults(dropAnswerEvery = 300)
        assertEquals(listOf(300, 600, 900), drops(faults))
        assertEquals(listOf(300, 600, 900), drops(faults))
    }

    @Test
    fun `a share of answers is dropped in the same order for the same seed`() {
        val first = drops(Faults(dropAnswerShare = 0.1, dropSeed = 7))
        assertTrue(first.size in 70..130, "${first.size} of 1000")
        assertEquals(first, drops(Faults(dropAnswerShare = 0.1, dropSeed = 7)))
        assertTrue(first != drops(Faults(dropAnswerShare = 0.1, dropSeed = 8)))
    }

    @Test
    fun `a delay passes before a call enters`() {
        gate.replace(Faults(delayMs = 30))
        assertTrue(measureTime { runBlocking { gate.enter() } } >= 30.milliseconds)
    }

    private fun drops(faults: Faults): List<Int> {
        gate.replace(faults)
        return (1..1_000).filter { gate.dropsAnswer() }
    }
}
