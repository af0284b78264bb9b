/** Detection of a dead leader from its connection, over loopback. */
package dev.bronzeshore.server.cluster

import arrow.core.right
import dev.bronzeshore.core.MonotonicClock
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.leadership.LeaderElection
import dev.bronzeshore.leadership.LeadershipCallbacks
import dev.bronzeshore.peering.PeerClient
import dev.bronzeshore.peering.PeerServer
import dev.bronzeshore.peering.handlerOf
import dev.bronzeshore.standins.cluster.StoreStandIn
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import kotlin.random.Random

private const val HOST = "127.0.0.1"
private const val ANNOUNCEMENTS = 20
private const val ANNOUNCE_PERIOD_MS = 30L

/** Response delay of an overloaded leader. */
private const val LATE_ANSWER_MS = 250L

class LeaderClientTest {
    private class Setup(private val scope: CoroutineScope) {
        private val selector = SelectorManager(Dispatchers.IO)
        private val store = StoreStandIn(Random(1), scope)
        private val leaderRow = NodeRow("leader", "boot-1", "")

        fun election(row: NodeRow) = LeaderElection(
            store.clientFor(row.processName),
            row,
            MonotonicClock,
            { 0 },
            LeadershipCallbacks(onGained = {}, onLost = {}, onRenewalFailed = {}),
        )

        /** Starts a leader that answers watches late and announcements only after their timeout. */
        suspend fun startLeader(): Pair<LeaderElection, Job> {
            val handlers = listOf(
                handlerOf(WATCH_CALL) { request ->
                    delay(maxOf(request.holdMs, LATE_ANSWER_MS))
                    WatchReply(true).right()
                },
                handlerOf(ANNOUNCE_CALL) {
                    delay(DEFAULT_AWAIT_MS)
                    AnnounceReply(true).right()
                },
            )
            val serverJob = Job()
            val serverScope = CoroutineScope(Dispatchers.IO + serverJob)
            val port = PeerServer(selector, System::currentTimeMillis, handlers).start(HOST, 0, serverScope)
            return election(leaderRow.copy(peerAddress = "$HOST:$port")) to serverJob
        }

        fun newClient() =
            TimedPeerClient(PeerClient(selector, System::currentTimeMillis, scope), System::currentTimeMillis)
    }

    /** Guards against an overloaded leader that counts as dead because calls that time out close their connection. */
    @Test
    @Timeout(60)
    fun `a leader that answers late keeps its term, one whose port is closed loses it`() = runBlocking {
        val setup = Setup(this)
        val (leader, server) = setup.startLeader()
        launch { leader.run() }
        awaitUntil { leader.currentTerm != null }
        val own = NodeRow("follower", "boot-2", "$HOST:1")
        val follower = setup.election(own)
        launch { follower.run() }
        awaitUntil { follower.knownLeader != null }
        val terms = QueueTerms("queue", "service", 0, 1, 1.0, 0)
        val job = AcceptedJob("0000000000000001", JobDescription("payload", emptyList()), terms, 0)
        val leaderClient = LeaderClient(own, follower, { emptyList() }, setup.newClient(), setup.newClient())
        launch { leaderClient.watch() }
        repeat(ANNOUNCEMENTS) {
            launch { leaderClient.announce(job) }
            delay(ANNOUNCE_PERIOD_MS)
        }
        delay(LATE_ANSWER_MS)
        assertEquals(1, follower.knownLeader?.term)
        server.cancelAndJoin()
        awaitUntil { follower.currentTerm?.term == 2L }
        coroutineContext.cancelChildren()
    }
}
