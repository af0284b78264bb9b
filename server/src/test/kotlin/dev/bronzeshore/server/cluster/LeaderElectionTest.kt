/** Elections of several processes over one store with faults, on virtual time. */
@file:OptIn(ExperimentalCoroutinesApi::class)

package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.leadership.LeaderElection
import dev.bronzeshore.leadership.LeaderEvents
import dev.bronzeshore.standins.cluster.StoreStandIn
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Longest wait for the failed renewals, two of which come in a second. */
private const val OUTAGE_MS = 30_000L

/** An outage with this many failed renewals lasts some times as long as a silent leader is borne. */
private const val FAILED_RENEWALS = 20

/** Longer than the time after which a silent leader counts as lost. */
private const val LEADER_LOST_MS = 3_000L

class LeaderElectionTest {
    private class Candidate(val name: String, val election: LeaderElection, val job: Job)

    private class Cluster(private val scope: TestScope, seed: Long) {
        val store = StoreStandIn(Random(seed), scope.backgroundScope)
        val gained = ArrayList<Long>()
        var storeLost = 0

        fun boot(name: String): Candidate {
            val row = NodeRow(name, "$name-${scope.currentTime}", "$name:1")
            val events = LeaderEvents(gained = { gained += it.term }, lost = {}, storeLost = { storeLost++ })
            val election = LeaderElection(store.asSeenBy(name), row, { scope.currentTime }, { 0 }, events)
            return Candidate(name, election, scope.backgroundScope.launch { election.run() })
        }
    }

    private fun List<Candidate>.leader(): Candidate? =
        filter { it.job.isActive && it.election.currentTerm != null }.maxByOrNull { it.election.currentTerm?.term ?: 0 }

    /** The leader of [term] or a later one; fails if there is none after [withinMs] of virtual time. */
    private suspend fun List<Candidate>.awaitLeader(term: Long = 1, withinMs: Long = AWAIT_MS): Candidate {
        awaitUntil(withinMs) { (leader()?.election?.currentTerm?.term ?: 0) >= term }
        return checkNotNull(leader())
    }

    /** Guards against two processes that hold the same term. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `each term has one leader under faults`(seed: Long) = runTest {
        val cluster = Cluster(this, seed)
        val random = Random(seed)
        val candidates = MutableList(5) { cluster.boot("n$it") }
        repeat(12) {
            delay(random.nextLong(500, 4_000))
            when (random.nextInt(4)) {
                0 -> candidates.leader()?.job?.cancel()
                1 -> cluster.store.faults.lostAnswers = random.nextDouble(0.5)
                2 -> cluster.store.faults.isDown = !cluster.store.faults.isDown
                else -> candidates += cluster.boot("n${candidates.size}")
            }
        }
        cluster.store.faults.isDown = false
        cluster.store.faults.lostAnswers = 0.0
        candidates.awaitLeader()
        assertEquals(cluster.gained.distinct(), cluster.gained)
    }

    /** Guards against an outage of the store after which another process leads although the leader lives. */
    @Test
    fun `a leader keeps its term through an outage`() = runTest {
        val cluster = Cluster(this, 1)
        val candidates = List(3) { cluster.boot("n$it") }
        val leader = candidates.awaitLeader()
        cluster.store.faults.isDown = true
        awaitUntil(OUTAGE_MS) { cluster.storeLost >= FAILED_RENEWALS }
        cluster.store.faults.isDown = false
        val backAtMs = currentTime
        awaitUntil { leader.election.renewedAtMs > backAtMs + LEADER_LOST_MS }
        assertEquals(leader.name, candidates.leader()?.name)
        assertEquals(listOf(1L), cluster.gained)
    }

    /** Guards against a lost leader that is missed for long, and against a waiting time after a handover. */
    @Test
    fun `a dead leader is replaced in two seconds, a released term at once`() = runTest {
        val cluster = Cluster(this, 2)
        val candidates = List(3) { cluster.boot("n$it") }
        candidates.awaitLeader().job.cancel()
        val second = candidates.awaitLeader(term = 2, withinMs = 2_000)
        second.election.withdraw()
        second.election.release()
        val third = candidates.awaitLeader(term = 3, withinMs = 200)
        assertNotEquals(second.name, third.name)
        assertNull(second.election.currentTerm)
    }

    /** Guards against a takeover whose answer is lost and that nobody then leads. */
    @Test
    fun `a takeover without an answer is led once the row shows it`() = runTest {
        val cluster = Cluster(this, 3)
        cluster.store.faults.lostAnswers = 1.0
        cluster.store.faults.lateByMs = 900
        val candidate = cluster.boot("n0")
        delay(1_000)
        cluster.store.faults.lostAnswers = 0.0
        assertEquals(candidate, listOf(candidate).awaitLeader(withinMs = 1_500))
    }

    /** Guards against a slow process that is asked to lead although the term has passed on meanwhile. */
    @Test
    fun `a handover of a former term is refused`() = runTest {
        val cluster = Cluster(this, 4)
        val candidates = List(2) { cluster.boot("n$it") }
        candidates.awaitLeader()
        val follower = candidates.first { it.election.currentTerm == null }
        assertEquals(false, follower.election.takeOverFrom(99, "test", isOnlyCandidate = true))
        assertEquals(true, follower.election.takeOverFrom(1, "test", isOnlyCandidate = true))
    }

    /** Guards against a handover to a process that was cut off and still holds a term before the one handed over. */
    @Test
    fun `a process that holds a former term does not take a handover`() = runTest {
        val cluster = Cluster(this, 5)
        val candidates = List(2) { cluster.boot("n$it") }
        val former = candidates.awaitLeader()
        val next = candidates.first { it !== former }
        cluster.store.faults.refusedCallers += former.name
        assertEquals(true, next.election.takeOverFrom(1, "test", isOnlyCandidate = true))
        assertEquals(false, former.election.takeOverFrom(2, "test", isOnlyCandidate = true))
    }
}
