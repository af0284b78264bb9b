/**
 * Searches all histories of the lease model within a scope, for one in which a successor takes leases for over that
 * are not. Each rule of the design is left out once, to see that the search would find its lack.
 *
 * The larger scopes run with `-Dlease.search=large`, by hand.
 */
package dev.bronzeshore.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val MAX_STATES = 1_500_000
private const val MAX_STATES_LARGE = 8_000_000

private val isLarge = System.getProperty("lease.search") == "large"

private val LEASES = LeaseScope(processes = 3, lastTerm = 2, hasReleases = true)
private val LATE_REQUESTS = LEASES.copy(hasReleases = false, hasLateRequests = true)
private val RESTARTS = LeaseScope(processes = 3, lastTerm = 2, restarts = 1)
private val SUSPENSIONS = LeaseScope(processes = 3, lastTerm = 2, suspensions = 1)
private val PAIR = LeaseScope(processes = 2, lastTerm = 3, restarts = 1, changes = 1, suspensions = 1)

/** One or two writes of the voters; nothing in their rules depends on the lengths of times. */
private val CHANGES = LeaseScope(
    processes = 3,
    lastTerm = 2,
    changes = 2,
    firstVoters = listOf(0b000, 0b001, 0b111),
    authority = 1,
    lease = 1,
)
private val CHANGE_IN_THREE_TERMS =
    CHANGES.copy(lastTerm = 3, changes = 1, hasReleases = true, firstVoters = listOf(0b001, 0b111))

/** A worker votes beside one process, which can be lost, or beside both. */
private val VOTING_WORKER =
    LeaseScope(processes = 2, lastTerm = 2, workerRestarts = 1, firstVoters = listOf(0b101, 0b111))
private val VOTING_WORKER_RESTARTS = VOTING_WORKER.copy(workerRestarts = 0, restarts = 1, hasReleases = true)
private val VOTING_WORKER_SUSPENSIONS = VOTING_WORKER.copy(workerRestarts = 0, suspensions = 1)
private val VOTING_WORKER_REQUESTS = VOTING_WORKER.copy(workerRestarts = 0, hasLateRequests = true)
private val VOTING_WORKER_IN_THREE_TERMS = VOTING_WORKER.copy(lastTerm = 3, authority = 1, workerVote = 3, lease = 1)
private val VOTING_WORKER_CHANGES = VOTING_WORKER.copy(
    lastTerm = 3,
    changes = 1,
    workerRestarts = 0,
    changesWorker = true,
    firstVoters = listOf(0b001, 0b101, 0b111),
    authority = 1,
    workerVote = 3,
    lease = 1,
)

private val SCOPES = listOf(
    LEASES,
    LATE_REQUESTS,
    RESTARTS,
    SUSPENSIONS,
    PAIR,
    CHANGES,
    VOTING_WORKER,
    VOTING_WORKER_RESTARTS,
    VOTING_WORKER_SUSPENSIONS,
    VOTING_WORKER_REQUESTS,
    VOTING_WORKER_IN_THREE_TERMS,
    VOTING_WORKER_CHANGES,
)
private val LARGE_SCOPES = listOf(
    CHANGE_IN_THREE_TERMS,
    CHANGE_IN_THREE_TERMS.copy(hasReleases = false, restarts = 1),
    LEASES.copy(lastTerm = 3),
    LATE_REQUESTS.copy(lastTerm = 3),
    LeaseScope(processes = 3, lastTerm = 2, restarts = 2, suspensions = 1),
    LeaseScope(processes = 4, lastTerm = 2, firstVoters = listOf(0b0011, 0b0111, 0b1111)),
    LeaseScope(processes = 4, lastTerm = 2, restarts = 1),
    CHANGES.copy(restarts = 1, firstVoters = listOf(0b001)),
)

class LeaseSearchTest {
    internal class Case(val scope: LeaseScope, val removed: Rule? = null, val steps: Int? = null) {
        override fun toString() = listOfNotNull(removed?.let { "without $it" }, scope).joinToString()
    }

    // Guards against a task that runs twice because a former leader's lease outlives what its successor waits for.
    @ParameterizedTest
    @MethodSource("scopes")
    internal fun `no successor takes a lease for over that is not`(case: Case) {
        val result = search(case)
        assertEquals(null, result.history)
        assertTrue(result.isWhole, "the scope is larger than the limit")
    }

    // Guards against a search that would not notice the lack of a rule.
    @ParameterizedTest
    @MethodSource("removedRules")
    internal fun `without a rule a lease outlives the wait`(case: Case) {
        val result = search(case)
        assertEquals(case.steps, result.history?.size, "${result.history}")
        assertEquals(case.steps == null, result.isWhole)
    }

    private fun search(case: Case): SearchResult {
        val startedAtNs = System.nanoTime()
        val result = LeaseSearch(case.scope, case.removed, if (isLarge) MAX_STATES_LARGE else MAX_STATES).run()
        val tookMs = (System.nanoTime() - startedAtNs) / 1_000_000
        println("$case: ${result.states} states, depth ${result.depth}, $tookMs ms; ${result.history.orEmpty()}")
        return result
    }

    companion object {
        @JvmStatic
        fun scopes(): List<Any> = (SCOPES + if (isLarge) LARGE_SCOPES else emptyList()).map { Case(it) }

        @JvmStatic
        fun removedRules(): List<Any> = listOf(
            Case(LEASES, Rule.AUTHORITY_ENDS, steps = 9),
            Case(RESTARTS, Rule.VOTER_HAS_READ_THE_STORE, steps = 12),
            Case(LEASES, Rule.VOTER_KEEPS_ITS_PROMISE, steps = 11),
            Case(LEASES, Rule.SUCCESSOR_NEEDS_PROMISES, steps = 10),
            Case(LEASES, Rule.WAIT_COVERS_LAST_VOTES, steps = 7),
            Case(LEASES, Rule.WAIT_COVERS_LEASES, steps = 6),
            Case(CHANGE_IN_THREE_TERMS, Rule.VOTERS_CHANGE_AFTER_REVOCATION, steps = 11),
            Case(CHANGE_IN_THREE_TERMS, Rule.VOTERS_WRITTEN_UNDER_TERM, steps = 13),
            Case(CHANGES, Rule.OPEN_WRITES_COUNT, steps = 10),
            Case(CHANGES, Rule.WITHDRAWS_ONE_WRITE, steps = 12),
            Case(SUSPENSIONS, Rule.CLOCK_INCLUDES_SUSPENSIONS, steps = 11),
            Case(LEASES.copy(firstVoters = listOf(0b011)), Rule.MORE_THAN_HALF, steps = 9),
            Case(LATE_REQUESTS, Rule.DEADLINE_READ_BEFORE_AUTHORITY, steps = 10),
            Case(VOTING_WORKER, Rule.LEADER_NEEDS_MOST_WORKERS, steps = 12),
            Case(VOTING_WORKER, Rule.WORKER_REFUSES_FORMER_LEADERS, steps = 13),
            Case(VOTING_WORKER, Rule.WORKER_VOTES_BY_INCARNATION, steps = 14),
            Case(VOTING_WORKER, Rule.WORKER_VOTE_ENDS, steps = 12),
            Case(VOTING_WORKER, Rule.WAIT_COVERS_WORKER_VOTES, steps = 11),
            // Nothing rests on this rule: among the voters whose promises revoke a term is one that it needs.
        ) + ownPromiseScopes().map { Case(it, Rule.LEADER_KEEPS_ITS_OWN_PROMISE, steps = null) }

        /** The pair has more states without this rule than fit in the time of CI. */
        private fun ownPromiseScopes() = if (isLarge) SCOPES else SCOPES - PAIR
    }
}
