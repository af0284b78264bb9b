/** Selects the processes and workers that vote on leases. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.WorkerIncarnation

/** A process that has not answered for three rounds is no voter while the store confirms the leader's term. */
internal const val VOTER_LOST_AFTER_MS = 16_000L

/** A worker that has not answered three polls is no voter; workers are replaced one after another, and often. */
internal const val WORKER_LOST_AFTER_MS = 5_000L

/** The same if most voters do not answer: the leader may be cut off from them, and a successor might need them. */
internal const val MAJORITY_LOST_AFTER_MS = 120_000L

/** Bounds the row of the voters; a sample of this size shows well which leader most workers answer. */
internal const val MAX_WORKER_VOTERS = 49

/** With fewer, the loss of one worker in an outage of the store would end all leases. */
internal const val MIN_WORKER_VOTERS = 3

/**
 * The processes that the leader [own] wants to be stored in place of [stored], by the time since each process answered.
 *
 * Their number is odd, so that no cut leaves two halves; where it would be even, the leader is left out.
 */
internal fun selectVoters(own: String, stored: Set<String>?, silenceMs: Map<String, Long>): Set<String> {
    val recent = silenceMs.filterValues { it < VOTER_LOST_AFTER_MS }.keys + own
    val hasMajority = stored == null || isMajorityOf(stored, recent)
    val present = if (hasMajority) recent else silenceMs.filterValues { it < MAJORITY_LOST_AFTER_MS }.keys + own
    return if (present.size % 2 == 0) present - own else present
}

/**
 * The workers that are to vote in place of [stored], by the time since each incarnation answered.
 *
 * Those that are stored stay while they answer. Their number is odd: one more would only raise the majority.
 */
internal fun selectWorkerVoters(
    stored: Set<WorkerIncarnation>,
    silenceMs: Map<WorkerIncarnation, Long>,
): Set<WorkerIncarnation> {
    val recent = silenceMs.filterValues { it < WORKER_LOST_AFTER_MS }.keys
    val hasMajority = stored.isEmpty() || isMajorityOf(stored, recent)
    val present = if (hasMajority) recent else silenceMs.filterValues { it < MAJORITY_LOST_AFTER_MS }.keys
    // Hash codes of ids mix data centres and racks.
    val (kept, others) = present.sortedBy { it.workerId.hashCode() }.partition { it in stored }
    val selected = (kept + others).take(MAX_WORKER_VOTERS)
    if (selected.size < MIN_WORKER_VOTERS) return emptySet()
    return selected.take(selected.size - (selected.size + 1) % 2).toSet()
}
