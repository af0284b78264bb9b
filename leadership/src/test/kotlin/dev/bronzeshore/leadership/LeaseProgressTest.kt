/**
 * Plays all cuts of a few processes, with each set of voters, and checks that leases go on where they may.
 *
 * In each unit of time all calls between processes on the same side succeed, and no others.
 */
package dev.bronzeshore.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Longer than any time in the model. */
private const val UNITS = 20
private const val PROCESSES = 5
private const val ALL = (1 shl PROCESSES) - 1

class LeaseProgressTest {
    /** Process 0 leads, and only the processes of [side] answer it. */
    internal class Case(val voters: Int, val side: Int) {
        private val scope = LeaseScope(PROCESSES, lastTerm = 2, firstVoters = listOf(voters))
        val model = LeaseModel(scope)
        val first = model.firstStates().single()
        val isMajority = 2 * (voters and side).countOneBits() > voters.countOneBits()
        val isMinority = 2 * (voters and side).countOneBits() < voters.countOneBits()
        val authority = scope.authority
        val wait = scope.authority + scope.lease

        fun votes(state: LeaseState, leader: Int, side: Int): LeaseState {
            val asked = model.askForVotes(state, leader) ?: state
            return membersOf(side).fold(asked) { known, other -> model.vote(known, leader, other) ?: known }
        }

        fun promises(state: LeaseState, leader: Int, side: Int): LeaseState {
            val asked = model.readFormer(state, leader) ?: state
            return membersOf(side).fold(asked) { known, other -> model.revoke(known, leader, other) ?: known }
        }

        override fun toString() = "voters ${voters.toString(radix = 2)}, with the leader ${side.toString(radix = 2)}"
    }

    // Guards against work that stops in an outage of the store, and against a leader that goes on without a majority.
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `in an outage a leader grants leases as long as a majority votes`(case: Case) {
        var state = case.first
        for (unit in 0 until UNITS) {
            val mayGrant = case.isMajority || unit < case.authority
            assertEquals(mayGrant, case.model.mayGrant(state, 0), "after $unit units")
            state = case.model.afterTime(case.votes(state, leader = 0, case.side))
        }
    }

    // Guards against tasks that wait for ever after a cut, and against a task that runs on both sides.
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a successor counts the leases as over in time unless the leader keeps a majority`(case: Case) {
        val others = ALL and case.side.inv()
        val successor = membersOf(others).firstOrNull() ?: return
        var state = checkNotNull(case.model.takeOver(case.first, successor))
        for (unit in 0 until UNITS) {
            state = case.promises(state, successor, others)
            state = case.votes(case.votes(state, leader = 0, case.side), successor, others)
            state = case.model.grant(state, 0) ?: state
            assertFalse(case.model.isBroken(state), "after $unit units")
            val isOver = case.isMinority && unit >= case.wait
            assertEquals(isOver, case.model.takesLeasesForOver(state, successor), "after $unit units")
            if (unit >= case.authority) assertEquals(case.isMajority, case.model.mayGrant(state, 0))
            state = case.model.afterTime(state)
        }
    }

    companion object {
        private fun membersOf(mask: Int) = (0 until PROCESSES).filter { mask and (1 shl it) != 0 }

        private fun masksWithLeader() = (0..ALL).filter { it and 1 != 0 }

        @JvmStatic
        fun cases(): List<Any> =
            masksWithLeader().flatMap { voters -> masksWithLeader().map { side -> Case(voters, side) } }
    }
}
