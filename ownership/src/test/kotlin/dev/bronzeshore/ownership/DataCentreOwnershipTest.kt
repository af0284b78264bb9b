package dev.bronzeshore.ownership

import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.ResultCode
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Guards the calls of the coroutines: an owner `a1` and a deputy `b1` share a fake table and one fake clock. */
class DataCentreOwnershipTest {
    private var nowMs = 1_000_000L
    private val table = FakeTable()
    private val everybody =
        listOf(
            Member("a1", "a", "north", "a1:1"),
            Member("b1", "b", "north", "b1:1"),
            Member("c1", "c", "south", "c1:1"),
        )

    /** Processes with a live process row. */
    private var listed = everybody
    private val reachable = everybody.map { it.processId }.toMutableSet()
    private val gained = ArrayList<Pair<String, OwnershipGained>>()
    private val lost = ArrayList<Pair<String, Long>>()
    private val processes: Map<String, DataCentreOwnership> =
        everybody.associate { self -> self.processId to ownership(self) }
    private val owner get() = processes.getValue("a1")
    private val deputy get() = processes.getValue("b1")

    private fun ownership(self: Member) = DataCentreOwnership(
        dataCentre = "a",
        self = self,
        clock = { nowMs },
        table = table.api,
        callDeputy = { member, request ->
            if (member.processId in reachable) {
                processes.getValue(member.processId).onDeputyLeaseRequest(request).right()
            } else {
                fault(ResultCode.PEER_UNAVAILABLE).left()
            }
        },
        members = { listed },
        onGained = { gained += self.processId to it },
        onLost = { lost += self.processId to it },
    )

    private fun start() = runBlocking {
        owner.tick()
        assertTrue(owner.mayAct())
        processes.values.forEach { it.tick() }
    }

    /** Ticks the given processes once a second for [periodMs]. */
    private fun run(periodMs: Long, vararg ids: String) = runBlocking {
        val untilMs = nowMs + periodMs
        while (nowMs < untilMs) {
            nowMs += RENEWAL_PERIOD_MS
            ids.forEach { processes.getValue(it).tick() }
        }
    }

    @Test
    fun `a local process takes an unowned data centre and a deputy elsewhere in the region is named`() {
        start()
        assertEquals(OwnershipState(true, 1, "a1", "b1", nowMs + LEASE_MS - MAX_CLOCK_SKEW_MS), owner.state)
        assertFalse(deputy.mayAct())
    }

    @Test
    fun `ownership survives 30 minutes without the table, guards against relying on the lease alone`() {
        start()
        table.mode = TableMode.DOWN
        run(1_800_000, "a1", "b1", "c1")
        assertTrue(owner.mayAct())
        assertEquals(listOf("a1"), gained.map { it.first })
    }

    @Test
    fun `deputy leases end before other processes may take over, guards against an unbounded outage`() {
        start()
        table.mode = TableMode.DOWN
        run(TABLE_OUTAGE_LIMIT_MS + LEASE_MS, "a1", "b1")
        assertFalse(owner.mayAct())
        table.mode = TableMode.UP
        run(5_000, "c1")
        assertTrue(processes.getValue("c1").mayAct())
        assertFalse(owner.mayAct())
    }

    /**
     * Guards against an owner that drops its deputy because no process row was renewed during an outage.
     *
     * The owner notices it when the table is available for one tick, or when a read during the outage finds no row.
     */
    @ParameterizedTest
    @EnumSource(TableMode::class, names = ["UP", "ROWS_MISSING"])
    internal fun `a deputy whose process row has expired is kept while it grants leases`(modeOfOneTick: TableMode) {
        start()
        listOf(
            TableMode.UNKNOWN_NOT_APPLIED to 8_000L,
            modeOfOneTick to RENEWAL_PERIOD_MS,
        ).forEach { (mode, periodMs) ->
            table.mode = mode
            run(periodMs, "a1", "b1", "c1")
            listed = everybody.take(1)
        }
        table.mode = TableMode.UNKNOWN_NOT_APPLIED
        run(8_000, "a1", "b1", "c1")
        assertEquals(emptyList<Any>(), lost)
        assertTrue(owner.mayAct())
    }

    /** Guards against a data centre that no later process may take over because a gone deputy stays named. */
    @Test
    fun `a deputy without a process row and without leases is dropped`() {
        start()
        listed = everybody.take(1)
        reachable.clear()
        run(LEASE_MS + RENEWAL_PERIOD_MS, "a1")
        assertTrue(owner.mayAct())
        assertNull(owner.state.deputyId)
    }

    @Test
    fun `a slow table does not delay a deputy lease, guards against calls in sequence`() {
        start()
        val release = CompletableDeferred<Unit>()
        table.beforeCall = { release.await() }
        nowMs += 2_000
        runBlocking {
            val tick = launch { owner.tick() }
            while (owner.actUntilMs != nowMs + LEASE_MS - MAX_CLOCK_SKEW_MS) yield()
            release.complete(Unit)
            tick.join()
        }
    }

    @Test
    fun `the deputy takes over from a killed owner within 5 s`() {
        start()
        val killedMs = nowMs
        runBlocking {
            while (!deputy.mayAct()) {
                nowMs = deputy.nextTickAtMs
                deputy.tick()
            }
        }
        assertTrue(nowMs - killedMs <= 5_000, "took ${nowMs - killedMs} ms")
        assertEquals(2, deputy.state.term)
        assertTrue(gained.last().second.previousEffectsUntilMs <= nowMs)
        runBlocking { owner.tick() }
        assertEquals(listOf("a1" to 1L), lost)
    }

    @Test
    fun `a planned stop moves ownership to the deputy at once`() {
        start()
        runBlocking {
            val message = checkNotNull(owner.handOver())
            assertFalse(owner.mayAct())
            assertEquals(OwnershipHandover("a", 2, "b1"), message)
            deputy.onHandover(message)
        }
        assertTrue(deputy.mayAct())
        assertEquals("b1" to OwnershipGained(2, nowMs + LEASE_MS + MAX_CLOCK_SKEW_MS), gained.last())
    }

    @Test
    fun `after a handover without a reachable deputy another process takes over`() {
        reachable.clear()
        start()
        runBlocking { assertNull(owner.handOver()) }
        assertFalse(owner.mayAct())
        run(6_000, "b1", "c1")
        assertEquals(1, processes.values.count { it.mayAct() })
    }

    @Test
    fun `a handover whose response is lost is resolved by a re-read`() {
        start()
        table.mode = TableMode.RESPONSE_LOST
        runBlocking { assertNull(owner.handOver()) }
        table.mode = TableMode.UP
        run(1_000, "b1")
        assertTrue(deputy.mayAct())
    }
}
