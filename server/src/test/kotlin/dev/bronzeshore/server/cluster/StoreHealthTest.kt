/** When a process counts as not served by the store. */
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

    /** Guards against a process that passes requests on because of one refused call, or never does. */
    @Test
    fun `refusals count once no call has succeeded for a while`() = runTest {
        val store = StoreStandIn(Random(1), backgroundScope)
        val health = StoreHealth { currentTime }
        val watched = health.monitor(store.asSeenBy("node"))
        watched.readPage(query)
        store.faults.refusedCallers += "node"
        watched.readPage(query)
        watched.readPage(query)
        assertEquals(true, health.isAvailable)
        delay(400)
        watched.readPage(query)
        assertEquals(false, health.isAvailable)
        store.faults.refusedCallers.clear()
        watched.readPage(query)
        assertEquals(true, health.isAvailable)
    }

    /** Guards against a slow spell that is taken for an outage. */
    @Test
    fun `a slow store still serves`() = runTest {
        val store = StoreStandIn(Random(1), backgroundScope)
        val health = StoreHealth { currentTime }
        val watched = health.monitor(store.asSeenBy("node"))
        store.faults.latencyMs = 400
        repeat(6) { watched.transact(StoreTransaction()) }
        store.faults.lostAnswers = 1.0
        repeat(1) { watched.transact(StoreTransaction()) }
        assertEquals(true, health.isAvailable)
    }
}
