/** A new configuration is in force within its bound although the store's feed does not bring it. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.platform.cluster.PlatformLink
import dev.bronzeshore.standins.cluster.StoreStandIn
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Time within which a configuration is in force; the platform's bound on the users' sites. */
private const val APPLY_MS = 2_000L

class ConfigWatcherTest {
    private class Setup(private val scope: TestScope) {
        val store = StoreStandIn(Random(1), scope.backgroundScope)
        val followers = List(3) { follower(it) }

        private fun follower(number: Int): ConfigWatcher {
            val peers = { List(3) { NodeRow("n$it", "boot", "n$it:1") }.filter { it.processName != "n$number" } }
            return ConfigWatcher(store.asSeenBy("n$number"), { scope.currentTime }, peers) { peer, version ->
                followers[peer.processName.drop(1).toInt()].contentNewerThan(version)
            }
        }

        fun write(version: Int) = store.put(
            RowId(PlatformLink.OPERATOR_TABLE, "", "config"),
            """{"version":$version,"routes":[]}""".toByteArray(),
        )

        fun run() = followers.forEach { scope.backgroundScope.launch { it.run() } }

        val versions get() = followers.map { it.current?.version }
    }

    /** Guards against a process that keeps an old configuration while its feed call waits for its time-out (CONFIG). */
    @Test
    fun `a process whose feed has fallen silent learns of a new version from its peers`() = runTest {
        val setup = Setup(this)
        setup.write(1)
        setup.run()
        setup.awaitVersion(1, withinMs = AWAIT_MS)
        setup.store.faults.silentFeeds += "n0"
        awaitUntil { "silent feed" in setup.store.calls }
        setup.write(2)
        setup.awaitVersion(2, withinMs = APPLY_MS)
    }

    /** Guards against a process without a configuration that never asks others while the store refuses it. */
    @Test
    fun `a process that the store refuses starts with a peer's configuration`() = runTest {
        val setup = Setup(this)
        setup.write(1)
        setup.store.faults.refusedCallers += "n0"
        setup.run()
        setup.awaitVersion(1, withinMs = APPLY_MS)
    }

    private suspend fun Setup.awaitVersion(version: Long, withinMs: Long) =
        awaitUntil(withinMs) { versions == List(followers.size) { version } }
}
