/** Detection of an unavailable store. */
@file:OptIn(ExperimentalCoroutinesApi::class)

package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.standins.cluster.StoreStandIn
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class StoreHealthTest {
    private val query = RowRangeQuery("t", "")

    /** Guards against a process that forwards requests because of a single refused call, or that never forwards. */
    @Test
    fun `the store is unavailable after repeated refusals without a recent success`() = runTest {
        val store = StoreStandIn(Random(1), backgroundScope)
        val health = StoreHealth { currentTime }
        val monitored = health.monitor(store.clientFor("node"))
        monitored.readPage(query)
        store.faults.refusedCallers += "node"
        monitored.readPage(query)
        monitored.readPage(query)
        assertEquals(true, health.isAvailable)
        delay(400)
        monitored.readPage(query)
        assertEquals(false, health.isAvailable)
        store.faults.refusedCallers.clear()
        monitored.readPage(query)
        assertEquals(true, health.isAvailable)
    }

    /** Guards against a slow period that is treated as an outage. */
    @Test
    fun `a slow store is available`() = runTest {
        val store = StoreStandIn(Random(1), backgroundScope)
        val health = StoreHealth { currentTime }
        val monitored = health.monitor(store.clientFor("node"))
        store.faults.latencyMs = 400
        repeat(6) { monitored.transact(StoreTransaction()) }
        store.faults.lostResponseShare = 1.0
        repeat(1) { monitored.transact(StoreTransaction()) }
        assertEquals(true, health.isAvailable)
    }
}
