/** A new configuration is in force within its time limit even if the store's change feed does not deliver it. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.accounts.ConfigProof
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.platform.cluster.PlatformClient
import dev.bronzeshore.standins.cluster.StoreStandIn
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** Time limit for a new configuration to be in force, as the platform sets it in production. */
private const val APPLY_LIMIT_MS = 2_000L

private const val WITHDRAWAL_BOUND_MS = 5_000L

class ConfigWatcherTest {
    private class Setup(private val scope: TestScope) {
        val store = StoreStandIn(Random(1), scope.backgroundScope)
        val proofs = List(3) { ConfigProof({ scope.currentTime }, { scope.currentTime }, WITHDRAWAL_BOUND_MS) }
        val watchers = List(3) { watcher(it) }

        private fun watcher(number: Int): ConfigWatcher {
            val peers = { List(3) { NodeRow("n$it", "boot", "n$it:1") }.filter { it.processName != "n$number" } }
            return ConfigWatcher(store.clientFor("n$number"), {
                scope.currentTime
            }, proofs[number], peers) { peer, version ->
                watchers[peer.processName.drop(1).toInt()].replyFor(version)
            }
        }

        fun write(version: Int) = store.put(
            RowId(PlatformClient.OPERATOR_TABLE, "", "config"),
            """{"version":$version,"routes":[]}""".toByteArray(),
        )

        fun run() = watchers.forEach { scope.backgroundScope.launch { it.run() } }

        val versions get() = watchers.map { it.current?.version }
    }

    /** Guards against a process that keeps an old configuration until its pending feed call times out. */
    @Test
    fun `a process whose change feed does not respond gets a new version from its peers`() = runTest {
        val setup = Setup(this)
        setup.write(1)
        setup.run()
        setup.awaitVersion(1, withinMs = DEFAULT_AWAIT_MS)
        setup.store.faults.unresponsiveFeeds += "n0"
        awaitUntil { "unresponsive feed" in setup.store.calls }
        setup.write(2)
        setup.awaitVersion(2, withinMs = APPLY_LIMIT_MS)
    }

    /** Guards against a process without a configuration that does not ask its peers while the store refuses it. */
    @Test
    fun `a process whose store calls are refused starts with a peer's configuration`() = runTest {
        val setup = Setup(this)
        setup.write(1)
        setup.store.faults.refusedCallers += "n0"
        setup.run()
        setup.awaitVersion(1, withinMs = APPLY_LIMIT_MS)
    }

    /**
     * Guards against a process that cannot reach the store and goes on serving keys: alone, it stops before the bound
     * for withdrawn keys; with a peer that reaches the store it goes on.
     */
    @ParameterizedTest(name = "refused by the store: {0}, still proven: {1}")
    @CsvSource("n0, n0;n1;n2", "n0;n1, n0;n1;n2", "n0;n1;n2, ''")
    fun `a configuration stays proven while any process reaches the store`(refused: String, proven: String) = runTest {
        val setup = Setup(this)
        setup.write(1)
        setup.run()
        setup.awaitVersion(1, withinMs = DEFAULT_AWAIT_MS)
        setup.store.faults.refusedCallers += refused.split(";")
        delay(WITHDRAWAL_BOUND_MS)
        assertEquals(proven, setup.proofs.indices.filter { setup.proofs[it].isRecent }.joinToString(";") { "n$it" })
    }

    /** Guards against keys that stay refused after an outage for as long as the change feed waits for a change. */
    @Test
    fun `a configuration is proven at once after an outage`() = runTest {
        val setup = Setup(this)
        setup.write(1)
        setup.run()
        setup.awaitVersion(1, withinMs = DEFAULT_AWAIT_MS)
        setup.store.faults.isDown = true
        delay(WITHDRAWAL_BOUND_MS)
        setup.store.faults.isDown = false
        awaitUntil(withinMs = 200) { setup.proofs.all { it.isRecent } }
    }

    /** Guards against a proof by a configuration that cannot be decoded: it may withdraw keys. */
    @Test
    fun `a malformed configuration proves nothing`() = runTest {
        val setup = Setup(this)
        setup.write(1)
        setup.run()
        setup.awaitVersion(1, withinMs = DEFAULT_AWAIT_MS)
        setup.store.put(RowId(PlatformClient.OPERATOR_TABLE, "", "config"), "{".toByteArray())
        delay(WITHDRAWAL_BOUND_MS)
        assertEquals(listOf(false, false, false), setup.proofs.map { it.isRecent })
    }

    /** Guards against processes that call the store without a pause while there is no configuration to prove. */
    @Test
    fun `without a configuration the store is called ten times a second at most`() = runTest {
        val setup = Setup(this)
        setup.run()
        delay(WITHDRAWAL_BOUND_MS)
        val maxCalls = setup.watchers.size * WITHDRAWAL_BOUND_MS / 100
        assertTrue((setup.store.calls["changes"] ?: 0) <= maxCalls, "${setup.store.calls}")
    }

    private suspend fun Setup.awaitVersion(version: Long, withinMs: Long) =
        awaitUntil(withinMs) { versions == List(watchers.size) { version } }
}
