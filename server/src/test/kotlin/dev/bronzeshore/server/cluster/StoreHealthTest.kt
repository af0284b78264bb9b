/** Detection of an unavailable store. */
@file:OptIn(ExperimentalCoroutinesApi::class)

package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.standins.cluster.StoreStandIn
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** Timeout of a call to the stand-in that gets no answer. */
private const val STORE_TIMEOUT_MS = 600L

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

    /**
     * Guards against a silent store that counts as slow: the timeouts of calls in parallel raised the typical latency,
     * and with it the time after which the store counts as unavailable, so that callers were held for seconds.
     */
    @Test
    fun `a silent store is unavailable after two unanswered calls in a row`() = runTest {
        val store = StoreStandIn(Random(1), backgroundScope)
        val health = StoreHealth { currentTime }
        val monitored = health.monitor(store.clientFor("node"))
        monitored.transact(StoreTransaction())
        store.faults.lostResponseShare = 1.0
        repeat(6) { backgroundScope.launch { while (true) monitored.transact(StoreTransaction()) } }
        delay(2 * STORE_TIMEOUT_MS + 100)
        assertEquals(false, health.isAvailable)
    }

    /** Guards against callers that have used up their attempts before an outage of some seconds has ended. */
    @ParameterizedTest
    @CsvSource("300, 1000", "1800, 1800", "3500, 2000", "60000, 2000")
    fun `callers may return later the longer an outage lasts`(outageMs: Long, expectedMs: Long) = runTest {
        val store = StoreStandIn(Random(1), backgroundScope)
        val health = StoreHealth { currentTime }
        health.monitor(store.clientFor("node")).readPage(query)
        delay(outageMs)
        assertEquals(expectedMs, health.retryAfterMs)
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
