/** What a search covers, and which rules of the design it leaves out to see whether they are needed. */
package dev.bronzeshore.leadership

/** Rules of the design that a search can leave out. */
internal enum class Rule {
    AUTHORITY_ENDS,
    VOTER_HAS_READ_THE_STORE,
    VOTER_KEEPS_ITS_PROMISE,
    SUCCESSOR_NEEDS_PROMISES,
    WAIT_COVERS_LAST_VOTES,
    WAIT_COVERS_LEASES,
    VOTERS_CHANGE_AFTER_REVOCATION,
    VOTERS_WRITTEN_UNDER_TERM,
    OPEN_WRITES_COUNT,
    WITHDRAWS_ONE_WRITE,
    CLOCK_INCLUDES_SUSPENSIONS,
    MORE_THAN_HALF,
    DEADLINE_READ_BEFORE_AUTHORITY,
    LEADER_KEEPS_ITS_OWN_PROMISE,
    LEADER_NEEDS_MOST_WORKERS,
    WORKER_REFUSES_FORMER_LEADERS,
    WORKER_VOTES_BY_INCARNATION,
    WORKER_VOTE_ENDS,
    WAIT_COVERS_WORKER_VOTES,
}

/** How often each kind of trouble may happen in one history. */
internal data class LeaseScope(
    val processes: Int,
    val lastTerm: Int,
    val restarts: Int = 0,
    val changes: Int = 0,
    val suspensions: Int = 0,
    /** Restarts of the worker that votes. */
    val workerRestarts: Int = 0,
    /** Changes may add the worker that votes, and take it away. */
    val changesWorker: Boolean = false,
    /** Time may pass between the decision to grant a lease and the arrival of the request. */
    val hasLateRequests: Boolean = false,
    /** Leaders may end their term by themselves, and lead again. */
    val hasReleases: Boolean = false,
    /** Time for which a vote or a call holds, in units of the model. */
    val authority: Int = 2,
    /** Time for which the answer of a worker holds as its vote. */
    val workerVote: Int = authority + 2,
    /** Time for which a lease lasts. */
    val lease: Int = 3,
    /** Masks of the voters at the start; process 0 leads. */
    val firstVoters: List<Int> = listOf((1 shl processes) - 1),
) {
    /** The mask of the worker in a set of voters. */
    val worker: Int get() = 1 shl processes
    val hasVotingWorker: Boolean = changesWorker || firstVoters.any { it and worker != 0 }
}
