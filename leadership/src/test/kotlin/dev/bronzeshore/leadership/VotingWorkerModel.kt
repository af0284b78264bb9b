/** The part of the lease model that is the worker which votes; it mirrors [WorkerVotes]. */
package dev.bronzeshore.leadership

internal class VotingWorkerModel(private val scope: LeaseScope, private val removed: Rule?) {
    /** Time for which the vote of a worker holds longer than those of processes. */
    private val wait = if (removed == Rule.WAIT_COVERS_WORKER_VOTES) 0 else scope.workerVote - scope.authority

    /** This incarnation ends; the next one has forgotten its token, and is no voter. */
    fun restart(state: LeaseState): LeaseState? {
        if (state[Shared.WORKER_RESTARTS_LEFT] == 0) return null
        return state.copy().apply {
            this[Shared.WORKER_RESTARTS_LEFT] -= 1
            this[Shared.VOTING_WORKER_FENCE] = if (removed == Rule.WORKER_VOTES_BY_INCARNATION) 0 else ENDED
        }
    }

    /** The worker refuses former leaders from then on; of a later incarnation it is known that this one has ended. */
    fun poll(state: LeaseState, process: Int): LeaseState? {
        val term = state[process, Own.HELD]
        val fence = state[Shared.VOTING_WORKER_FENCE]
        val hasEnded = fence == ENDED
        if (!scope.hasVotingWorker) return null
        if (!hasEnded && fence > term && removed != Rule.WORKER_REFUSES_FORMER_LEADERS) return null
        val next = state.copy()
        if (!hasEnded) {
            next[Shared.VOTING_WORKER_FENCE] = maxOf(term, fence)
            next[process, Own.WORKER_AGE] = 0
        }
        if (state[process, Own.REVOCATION] == 1 && state[process, Own.FORMER] and scope.worker != 0) {
            next[process, Own.PROMISES] = state[process, Own.PROMISES] or scope.worker
        }
        return next.takeUnless { it.bytes.contentEquals(state.bytes) }
    }

    fun hasPromised(state: LeaseState, process: Int): Boolean =
        state[process, Own.FORMER] and state[process, Own.PROMISES] and scope.worker != 0

    /** The votes that the worker gave former leaders before its promise hold no more. */
    fun hasRevoked(state: LeaseState, process: Int): Boolean =
        hasPromised(state, process) && state[process, Own.REVOKED_AGE] >= wait
}
