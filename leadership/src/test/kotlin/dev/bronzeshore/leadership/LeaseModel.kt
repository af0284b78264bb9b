/**
 * Model of the leases of one worker, of the processes that may lead, and of the store.
 *
 * There is no state of the network: each call between two parties may go through or not, at each moment, so that each
 * cut and outage is among the histories. What a later answer could do, the same answer at once could do too; but a
 * write of the voters may apply later, a vote is counted against the voters of a later moment, and a leader is held up
 * between its decision to grant a lease and the request. One worker with a lease is enough: workers do not influence
 * each other, and a task runs twice only if a lease lives on at its former worker. Another worker votes; what matters
 * of several is that two majorities have one in common.
 */
package dev.bronzeshore.leadership

/** Receives a next state with what led to it. */
internal fun interface Step {
    fun to(next: LeaseState, action: String, process: Int, other: Int)
}

internal class LeaseModel(private val scope: LeaseScope, private val removed: Rule? = null) {
    private val processes = 0 until scope.processes
    private val voters = VoterModel(scope, removed)
    private val requests = RequestModel(scope, removed)
    private val votingWorker = VotingWorkerModel(scope, removed)
    private val waitTime = when (removed) {
        Rule.WAIT_COVERS_LAST_VOTES -> scope.lease
        Rule.WAIT_COVERS_LEASES -> scope.authority
        else -> scope.authority + scope.lease
    }

    fun firstStates(): List<LeaseState> = scope.firstVoters.map { stored ->
        LeaseState(scope.processes).apply {
            this[Shared.STORE_TERM] = 1
            this[Shared.STORE_VOTERS] = stored
            this[Shared.STORE_VERSION] = 1
            this[Shared.RESTARTS_LEFT] = scope.restarts
            this[Shared.WORKER_RESTARTS_LEFT] = scope.workerRestarts
            this[Shared.VOTING_WORKER_FENCE] = 1
            this[Shared.CHANGES_LEFT] = scope.changes
            this[Shared.SUSPENSIONS_LEFT] = scope.suspensions
            for (process in processes) this[process, Own.OBSERVED] = 1
            begin(process = 0, term = 1)
            this[0, Own.STORED] = stored
            this[0, Own.REVOCATION] = 2
            this[0, Own.REVOKED_AGE] = waitTime
        }
    }

    /** A leader takes the leases of the worker for over, and one that a former leader granted is not. */
    fun isBroken(state: LeaseState): Boolean = state[Shared.LEASE_LEFT] > 0 &&
        processes.any { process ->
            val term = state[process, Own.HELD]
            state[Shared.LEASE_TERM] < term && state[Shared.FENCE] < term && takesLeasesForOver(state, process)
        }

    fun takesLeasesForOver(state: LeaseState, process: Int): Boolean =
        state[process, Own.REVOCATION] == 2 && state[process, Own.REVOKED_AGE] >= waitTime

    fun mayGrant(state: LeaseState, process: Int): Boolean {
        val term = state[process, Own.HELD]
        if (term == 0) return false
        val hasRevoked = voterOf(state, process).hasRevoked(term)
        if (hasRevoked && removed != Rule.LEADER_KEEPS_ITS_OWN_PROMISE) return false
        return removed == Rule.AUTHORITY_ENDS || state[process, Own.CONFIRMED_AGE] < scope.authority
    }

    fun expand(state: LeaseState, step: Step) {
        step.to(afterTime(state), "time passes", -1, -1)
        for (process in processes) {
            if (state[Shared.SUSPENDED] == process + 1) {
                step.to(state.copy().apply { this[Shared.SUSPENDED] = 0 }, "resumes", process, -1)
                continue
            }
            expandEnvironment(state, process, step)
            read(state, process)?.let { step.to(it, "reads the store", process, -1) }
            if (state[process, Own.HELD] == 0) {
                takeOver(state, process)?.let { step.to(it, "takes over", process, -1) }
            } else {
                expandLeader(state, process, step)
            }
        }
        votingWorker.restart(state)?.let { step.to(it, "the voting worker restarts", -1, -1) }
        voters.applyLate(state, step)
        requests.arrive(state, step)
    }

    private fun expandEnvironment(state: LeaseState, process: Int, step: Step) {
        if (state[Shared.RESTARTS_LEFT] > 0) {
            val next = state.copy()
            next[Shared.RESTARTS_LEFT] = state[Shared.RESTARTS_LEFT] - 1
            Own.entries.forEach { next[process, it] = 0 }
            step.to(next, "restarts", process, -1)
        }
        if (state[Shared.SUSPENSIONS_LEFT] > 0 && state[Shared.SUSPENDED] == 0) {
            val next = state.copy()
            next[Shared.SUSPENSIONS_LEFT] = state[Shared.SUSPENSIONS_LEFT] - 1
            next[Shared.SUSPENDED] = process + 1
            step.to(next, "is suspended", process, -1)
        }
    }

    private fun expandLeader(state: LeaseState, process: Int, step: Step) {
        if (scope.hasReleases) step.to(state.copy().apply { end(process) }, "ends its term", process, -1)
        grant(state, process)?.let { step.to(it, "grants a lease", process, -1) }
        if (mayGrant(state, process)) requests.send(state, process, step)
        readFormer(state, process)?.let { step.to(it, "reads the former voters", process, -1) }
        expandVotes(state, process, step)
        voters.expand(state, process, step)
    }

    private fun expandVotes(state: LeaseState, process: Int, step: Step) {
        askForVotes(state, process)?.let { step.to(it, "asks for votes", process, -1) }
        count(state, process)?.let { step.to(it, "counts its votes again", process, -1) }
        pollWorker(state, process)?.let { step.to(it, "is answered by the voting worker", process, -1) }
        for (other in processes) {
            if (other == process || state[Shared.SUSPENDED] == other + 1) continue
            vote(state, process, other)?.let { step.to(it, "has the vote of", process, other) }
            revoke(state, process, other)?.let { step.to(it, "has the promise of", process, other) }
        }
    }

    fun afterTime(state: LeaseState): LeaseState = state.copy().apply {
        if (this[Shared.LEASE_LEFT] > 0) this[Shared.LEASE_LEFT] -= 1
        if (this[Shared.LEASE_LEFT] == 0) this[Shared.LEASE_TERM] = 0
        requests.passTime(this)
        for (process in processes) {
            if (this[process, Own.HELD] != 0) passTime(process)
        }
    }

    private fun LeaseState.passTime(process: Int) {
        val isSuspended = this[Shared.SUSPENDED] == process + 1
        if (!isSuspended || removed != Rule.CLOCK_INCLUDES_SUSPENSIONS) {
            for (age in AGES) this[process, age] = minOf(this[process, age] + 1, scope.authority)
            this[process, Own.WORKER_AGE] = minOf(this[process, Own.WORKER_AGE] + 1, scope.workerVote)
            dropVainRound(process)
        }
        if (!isSuspended && this[process, Own.REVOCATION] == 2) {
            this[process, Own.REVOKED_AGE] = minOf(this[process, Own.REVOKED_AGE] + 1, waitTime)
        }
        if (!isSuspended && this[process, Own.REVOCATION] == 1 && votingWorker.hasPromised(this, process)) {
            this[process, Own.REVOKED_AGE] += 1
            completeRevocation(process)
        }
    }

    private fun pollWorker(state: LeaseState, process: Int): LeaseState? = votingWorker.poll(state, process)?.apply {
        if (this[process, Own.REVOCATION] == 1) completeRevocation(process)
    }

    fun read(state: LeaseState, process: Int): LeaseState? {
        val term = state[Shared.STORE_TERM]
        val held = state[process, Own.HELD]
        val isNews = state[process, Own.OBSERVED] != term || (held == term && state[process, Own.CONFIRMED_AGE] > 0)
        if (!isNews) return null
        return state.copy().apply {
            this[process, Own.OBSERVED] = term
            if (held == term) {
                this[process, Own.CONFIRMED_AGE] = 0
            } else if (held != 0) {
                end(process)
            }
            dropVainRound(process)
            dropVainPromise(process)
        }
    }

    fun takeOver(state: LeaseState, process: Int): LeaseState? {
        val term = state[Shared.STORE_TERM] + 1
        if (term > scope.lastTerm) return null
        return state.copy().apply {
            this[Shared.STORE_TERM] = term
            this[process, Own.OBSERVED] = term
            begin(process, term)
            dropVainPromise(process)
            voters.dropVain(this)
        }
    }

    fun readFormer(state: LeaseState, process: Int): LeaseState? {
        val term = state[process, Own.HELD]
        if (term != state[Shared.STORE_TERM] || state[process, Own.REVOCATION] != 0) return null
        return state.copy().apply {
            this[process, Own.REVOCATION] = 1
            this[process, Own.FORMER] = this[Shared.STORE_VOTERS]
            this[process, Own.STORED] = this[Shared.STORE_VOTERS]
            promise(process, term)
            this[process, Own.PROMISES] = 1 shl process
            completeRevocation(process)
        }
    }

    fun revoke(state: LeaseState, process: Int, other: Int): LeaseState? {
        val asked = state[process, Own.FORMER] and state[process, Own.PROMISES].inv()
        if (state[process, Own.REVOCATION] != 1 || asked and (1 shl other) == 0) return null
        return state.copy().apply {
            val term = this[process, Own.HELD]
            promise(other, term)
            if (this[other, Own.HELD] < term && removed != Rule.LEADER_KEEPS_ITS_OWN_PROMISE) end(other)
            this[process, Own.PROMISES] = this[process, Own.PROMISES] or (1 shl other)
            completeRevocation(process)
        }
    }

    private fun LeaseState.completeRevocation(process: Int) {
        val isComplete = this[process, Own.FORMER] == 0 ||
            removed == Rule.SUCCESSOR_NEEDS_PROMISES ||
            voters.isMajorityOf(this[process, Own.FORMER], this[process, Own.PROMISES]) ||
            votingWorker.hasRevoked(this, process)
        if (!isComplete) return
        this[process, Own.REVOCATION] = 2
        this[process, Own.REVOKED_AGE] = 0
        this[process, Own.FORMER] = 0
        this[process, Own.PROMISES] = 0
    }

    private fun LeaseState.promise(process: Int, term: Int) {
        this[process, Own.PROMISED_BELOW] = maxOf(this[process, Own.PROMISED_BELOW], term)
        dropVainPromise(process)
    }

    /** Who has read a term votes for no former one, promise or not. */
    private fun LeaseState.dropVainPromise(process: Int) {
        if (this[process, Own.PROMISED_BELOW] <= this[process, Own.OBSERVED]) this[process, Own.PROMISED_BELOW] = 0
    }

    /** A round cannot prolong the authority beyond what a later call or round has confirmed. */
    private fun LeaseState.dropVainRound(process: Int) {
        if (this[process, Own.HELD] == 0 || this[process, Own.ASKED_AGE] < this[process, Own.CONFIRMED_AGE]) return
        this[process, Own.ASKED_AGE] = scope.authority
        this[process, Own.GRANTED] = 0
    }

    fun askForVotes(state: LeaseState, process: Int): LeaseState? {
        if (state[process, Own.ASKED_AGE] == 0 || state[process, Own.CONFIRMED_AGE] == 0) return null
        return state.copy().apply {
            this[process, Own.ASKED_AGE] = 0
            val isOwn = votesFor(this, process, this[process, Own.HELD])
            this[process, Own.GRANTED] = if (isOwn) 1 shl process else 0
            countVotes(process)
        }
    }

    fun vote(state: LeaseState, process: Int, other: Int): LeaseState? {
        val granted = state[process, Own.GRANTED] or (1 shl other)
        if (state[process, Own.ASKED_AGE] == scope.authority || granted == state[process, Own.GRANTED]) return null
        if (!votesFor(state, other, state[process, Own.HELD])) return null
        return state.copy().apply {
            this[process, Own.GRANTED] = granted
            countVotes(process)
        }
    }

    private fun count(state: LeaseState, process: Int): LeaseState? = state.copy().takeIf { it.countVotes(process) }

    private fun LeaseState.countVotes(process: Int): Boolean =
        voters.count(this, process).also { if (it) dropVainRound(process) }

    fun grant(state: LeaseState, process: Int): LeaseState? =
        if (mayGrant(state, process)) requests.grant(state, state[process, Own.HELD], scope.lease) else null

    private fun votesFor(state: LeaseState, process: Int, term: Int): Boolean {
        val hasNotRead = state[process, Own.OBSERVED] == 0
        return when {
            removed == Rule.VOTER_KEEPS_ITS_PROMISE -> state[process, Own.OBSERVED] == term
            removed == Rule.VOTER_HAS_READ_THE_STORE && hasNotRead -> term >= state[process, Own.PROMISED_BELOW]
            else -> voterOf(state, process).votesFor(term.toLong())
        }
    }

    private fun voterOf(state: LeaseState, process: Int): LeaseVoter {
        val observed = state[process, Own.OBSERVED].takeIf { it != 0 }?.toLong()
        return LeaseVoter { observed }.apply { revokeBelow(state[process, Own.PROMISED_BELOW].toLong()) }
    }

    private fun LeaseVoter.hasRevoked(term: Int) = hasRevoked(term.toLong())

    private fun LeaseState.begin(process: Int, term: Int) {
        this[process, Own.HELD] = term
        this[process, Own.ASKED_AGE] = scope.authority
        this[process, Own.WORKER_AGE] = scope.workerVote
    }

    private fun LeaseState.end(process: Int) {
        LEADING.forEach { this[process, it] = 0 }
    }

    private companion object {
        val AGES = listOf(Own.CONFIRMED_AGE, Own.ASKED_AGE)
        val LEADING = Own.entries - Own.OBSERVED - Own.PROMISED_BELOW
    }
}
