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
        assertEquals(0, droppedResponses(Faults()).size)
    }

    @Test
    fun `every Nth response is dropped, counted from the last change of faults`() {
        val faults = Faults(dropAnswerEvery = 300)
        assertEquals(listOf(300, 600, 900), droppedResponses(faults))
        assertEquals(listOf(300, 600, 900), droppedResponses(faults))
    }

    @Test
    fun `the same seed drops the same responses`() {
        val first = droppedResponses(Faults(dropAnswerShare = 0.1, dropSeed = 7))
        assertTrue(first.size in 70..130, "${first.size} of 1000")
        assertEquals(first, droppedResponses(Faults(dropAnswerShare = 0.1, dropSeed = 7)))
        assertTrue(first != droppedResponses(Faults(dropAnswerShare = 0.1, dropSeed = 8)))
    }

    @Test
    fun `a call is delayed`() {
        injector.replace(Faults(delayMs = 30))
        assertTrue(measureTime { runBlocking { injector.delayCall() } } >= 30.milliseconds)
    }

    private fun droppedResponses(faults: Faults): List<Int> {
        injector.replace(faults)
        return (1..1_000).filter { injector.shouldDropResponse() }
    }
}
