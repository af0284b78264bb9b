/** The part of the lease model that changes the stored voters; it mirrors [VoterSet] and `LeaseQuorum.storeVoters`. */
package dev.bronzeshore.leadership

private val OPEN = listOf(Own.OPEN_VERSION_1 to Own.OPEN_VOTERS_1, Own.OPEN_VERSION_2 to Own.OPEN_VOTERS_2)

private class LateWrite(val term: Shared, val version: Shared, val voters: Shared)

private val LATE = listOf(
    LateWrite(Shared.LATE_TERM_1, Shared.LATE_VERSION_1, Shared.LATE_VOTERS_1),
    LateWrite(Shared.LATE_TERM_2, Shared.LATE_VERSION_2, Shared.LATE_VOTERS_2),
)

internal class VoterModel(private val scope: LeaseScope, private val removed: Rule?) {
    private val masks = 0 until (1 shl scope.processes)
    private val votersToStore = masks + if (scope.changesWorker) masks.map { it or scope.worker } else emptyList()

    private val majorities: List<BooleanArray> = masks.map { voters ->
        BooleanArray(masks.last + 1) { names ->
            val isHalf = 2 * (voters and names).countOneBits() == voters.countOneBits()
            isMajorityOf(setOf(voters), setOf(names)) || (isHalf && removed == Rule.MORE_THAN_HALF)
        }
    }

    private fun setOf(mask: Int): Set<String> =
        (0 until scope.processes).filter { mask and (1 shl it) != 0 }.map { "$it" }.toSet()

    /** The same of the processes alone. */
    fun isMajorityOf(voters: Int, names: Int): Boolean = majorities[voters and masks.last][names and masks.last]

    fun hasWorker(voters: Int): Boolean = voters and scope.worker != 0

    /** Counts the votes of the present round; true if that prolongs the authority. */
    fun count(state: LeaseState, process: Int): Boolean {
        val asked = maxOf(state[process, Own.ASKED_AGE], workerAge(state, process))
        if (asked >= state[process, Own.CONFIRMED_AGE] || !isMajority(state, process)) return false
        state[process, Own.CONFIRMED_AGE] = asked
        return true
    }

    /** The age of a round of processes whose votes hold as long as that of the worker, if that is needed. */
    private fun workerAge(state: LeaseState, process: Int): Int {
        val possible = OPEN.map { state[process, it.second] } + state[process, Own.STORED]
        val isNeeded = possible.any { hasWorker(it) } && removed != Rule.LEADER_NEEDS_MOST_WORKERS
        if (!isNeeded) return 0
        if (removed == Rule.WORKER_VOTE_ENDS) return 0
        return state[process, Own.WORKER_AGE] - (scope.workerVote - scope.authority)
    }

    fun isMajority(state: LeaseState, process: Int): Boolean {
        val granted = state[process, Own.GRANTED]
        val stored = state[process, Own.STORED]
        if (stored == 0 || !isMajorityOf(stored, granted)) return false
        return removed == Rule.OPEN_WRITES_COUNT ||
            OPEN.all { state[process, it.second] == 0 || isMajorityOf(state[process, it.second], granted) }
    }

    fun expand(state: LeaseState, process: Int, step: Step) {
        if (state[process, Own.IS_WRITING] == 1) return expandAnswers(state, process, step)
        val mayChange = state[process, Own.REVOCATION] == 2 ||
            (removed == Rule.VOTERS_CHANGE_AFTER_REVOCATION && state[process, Own.REVOCATION] == 1)
        if (!mayChange ||
            state[Shared.CHANGES_LEFT] == 0 ||
            state[process, Own.HELD] != state[Shared.STORE_TERM]
        ) {
            return
        }
        for (wanted in votersToStore) {
            if (wanted and (1 shl process) == 0 || wanted == state[process, Own.STORED]) continue
            val next = state.copy()
            next[Shared.CHANGES_LEFT] = state[Shared.CHANGES_LEFT] - 1
            observe(next, process, state[Shared.STORE_VOTERS], state[Shared.STORE_VERSION])
            propose(next, process, state[Shared.STORE_VERSION], wanted)
            next[process, Own.IS_WRITING] = 1
            step.to(next, "writes as voters", process, wanted)
        }
    }

    private fun expandAnswers(state: LeaseState, process: Int, step: Step) {
        val (version, voters) = lastOpen(state, process)
        val term = state[process, Own.HELD]
        val refused = state.copy()
        refused[process, Own.IS_WRITING] = 0
        withdraw(refused, process, voters)
        step.to(refused, "is refused its write", process, -1)
        val late = state.copy()
        late[process, Own.IS_WRITING] = 0
        LATE.firstOrNull { late[it.voters] == 0 }?.let {
            late[it.term] = term
            late[it.version] = version
            late[it.voters] = voters
            step.to(late, "has no answer to its write", process, -1)
        }
        if (term != state[Shared.STORE_TERM] || version != state[Shared.STORE_VERSION]) return
        val applied = state.copy()
        applied[process, Own.IS_WRITING] = 0
        apply(applied, voters)
        observe(applied, process, voters, version = 0)
        step.to(applied, "has written its voters", process, -1)
    }

    fun applyLate(state: LeaseState, step: Step) {
        for (write in LATE) {
            if (state[write.voters] == 0 || !canApply(state, write)) continue
            val next = state.copy()
            apply(next, state[write.voters])
            step.to(next, "a late write applies, of voters", -1, state[write.voters])
        }
    }

    private fun apply(state: LeaseState, voters: Int) {
        state[Shared.STORE_VOTERS] = voters
        state[Shared.STORE_VERSION] += 1
        dropVain(state)
    }

    private fun canApply(state: LeaseState, write: LateWrite): Boolean =
        state[write.version] == state[Shared.STORE_VERSION] &&
            (state[write.term] == state[Shared.STORE_TERM] || removed == Rule.VOTERS_WRITTEN_UNDER_TERM)

    /** Forgets late writes whose conditions can no longer hold. */
    fun dropVain(state: LeaseState) {
        for (write in LATE) {
            if (canApply(state, write)) continue
            state[write.term] = 0
            state[write.version] = 0
            state[write.voters] = 0
        }
    }

    fun observe(state: LeaseState, process: Int, voters: Int, version: Int) {
        state[process, Own.STORED] = voters
        val kept = openOf(state, process).filter { it.first == version }
        setOpen(state, process, kept)
    }

    fun propose(state: LeaseState, process: Int, version: Int, voters: Int) {
        setOpen(state, process, openOf(state, process) + (version to voters))
    }

    fun withdraw(state: LeaseState, process: Int, voters: Int) {
        val open = openOf(state, process)
        val kept = if (removed == Rule.WITHDRAWS_ONE_WRITE) {
            open.filter { it.second != voters }
        } else {
            val last = open.indexOfLast { it.second == voters }
            open.filterIndexed { index, _ -> index != last }
        }
        setOpen(state, process, kept)
    }

    private fun lastOpen(state: LeaseState, process: Int): Pair<Int, Int> = openOf(state, process).last()

    private fun openOf(state: LeaseState, process: Int): List<Pair<Int, Int>> =
        OPEN.map { state[process, it.first] to state[process, it.second] }.filter { it.second != 0 }

    private fun setOpen(state: LeaseState, process: Int, open: List<Pair<Int, Int>>) {
        require(open.size <= OPEN.size) { "more open writes than the model has room for" }
        OPEN.forEachIndexed { index, (version, voters) ->
            state[process, version] = open.getOrNull(index)?.first ?: 0
            state[process, voters] = open.getOrNull(index)?.second ?: 0
        }
    }
}
