package dev.bronzeshore.standins

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

/** Guards against injected faults that differ between two runs with the same settings. */
class FaultInjectorTest {
    private val injector = FaultInjector()

    @Test
    fun `without faults no response is dropped`() {
        assertEquals(0, drops(Faults()).size)
    }

    @Test
    fun `every Nth response is dropped, counted from the last change of faults`() {
        val faults = Faults(dropAnswerEvery = 300)
        assertEquals(listOf(300, 600, 900), drops(faults))
        assertEquals(listOf(300, 600, 900), drops(faults))
    }

    @Test
    fun `a seed selects the share of responses that are dropped`() {
        val first = drops(Faults(dropAnswerShare = 0.1, dropSeed = 7))
        assertTrue(first.size in 70..130, "${first.size} of 1000")
        assertEquals(first, drops(Faults(dropAnswerShare = 0.1, dropSeed = 7)))
        assertTrue(first != drops(Faults(dropAnswerShare = 0.1, dropSeed = 8)))
    }

    @Test
    fun `a call waits for the injected delay`() {
        injector.replace(Faults(delayMs = 30))
        assertTrue(measureTime { runBlocking { injector.delayCall() } } >= 30.milliseconds)
    }

    private fun drops(faults: Faults): List<Int> {
        injector.replace(faults)
        return (1..1_000).filter { injector.shouldDropResponse() }
    }
}
