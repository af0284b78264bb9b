/** Guards against a leader on a machine that is too weak for the work while stronger ones are available. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.NodeRow
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

private const val SEED = 1L

class CandidateOrderTest {
    data class Case(val name: String, val own: Double, val peers: List<Double>, val delayMs: Long) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `weaker candidates delay their takeover in favour of stronger ones`(case: Case) {
        val peers = case.peers.mapIndexed { number, capacity -> node("p$number", capacity) }
        assertEquals(case.delayMs, candidateDelayMs(node("own", case.own), peers))
    }

    @Test
    fun `a slow link counts as few processors`() {
        assertTrue(leaderCapacity(processors = 0.9, linkMbps = 10.0) < leaderCapacity(0.75, linkMbps = 200.0))
        assertEquals(1.5, leaderCapacity(processors = 1.5, linkMbps = 200.0))
    }

    @Test
    fun `a handover asks the strongest process first`() {
        val peers = listOf(node("weak", 0.27), node("strong", 1.5), node("middle", 0.5))
        assertEquals(listOf("strong", "middle", "weak"), handoverOrder(peers, Random(SEED)).map { it.processName })
    }

    @Test
    fun `a handover asks a few of many processes, including some that are not the strongest`() {
        val peers = List(40) { node("p$it", if (it < 10) 1.5 else 0.27) }
        val asked = handoverOrder(peers, Random(SEED))
        assertEquals(List(4) { 1.5 }, asked.take(4).map { it.leaderCapacity })
        assertEquals(7, asked.distinct().size)
    }

    private fun node(name: String, capacity: Double) = NodeRow(name, "boot", "$name:1", capacity)

    companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("the strongest does not wait", 1.5, listOf(0.27, 0.5, 1.5), 0),
            Case("one peer is stronger", 0.5, listOf(0.27, 0.5, 1.5), 25),
            Case("many peers are stronger", 0.27, List(40) { 1.0 }, 400),
            Case("a large machine that knows no peers", 2.0, emptyList(), 0),
            Case("a small machine that knows no peers", 0.4, emptyList(), 240),
        )
    }
}
