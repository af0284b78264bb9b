/**
 * The processes and workers that decide on leases while the store does not confirm the leader's term.
 *
 * A leader needs most of both, and a successor that has the promises of most of either knows that no former leader has
 * that. So the loss of all processes, or of most workers, does not keep a successor from knowing it.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.WorkerIncarnation

/** Processes by name; [workers] is empty if the votes of workers do not count. */
internal data class Electorate(val processes: Set<String>, val workers: Set<WorkerIncarnation> = emptySet())

/** True if more than half of [voters] are among [names]. */
internal fun <T> isMajorityOf(voters: Set<T>, names: Set<T>): Boolean = 2 * voters.count { it in names } > voters.size
