/** Which sets of voters may be stored, and whether some of them are a majority of each. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.WorkerIncarnation

/**
 * The leader changes the stored voters, and a write without an answer may take effect later. Until that is settled,
 * each set that may be stored has to agree. Confined to the control thread.
 */
internal class VoterSet {
    /** The voters that are stored, as far as this is known; null if there are none, or they have not been read. */
    var stored: Electorate? = null
        private set

    /** Voters whose write got no answer, with the version of the row that it required. */
    private val unsettled = ArrayList<Pair<Long, Electorate>>()

    private val possible: List<Electorate> get() = listOfNotNull(stored) + unsettled.map { it.second }

    /** [voters] are stored under [version], null after a write; writes that require another version never apply. */
    fun observe(voters: Electorate?, version: Long?) {
        stored = voters
        unsettled.removeAll { it.first != version }
    }

    /** A write of [voters] that requires [version] may apply from now on. */
    fun propose(voters: Electorate, version: Long) {
        unsettled += version to voters
    }

    /** The last write of [voters] has not applied, and will not; an earlier one of the same voters still may. */
    fun withdraw(voters: Electorate) {
        val index = unsettled.indexOfLast { it.second == voters }
        if (index >= 0) unsettled.removeAt(index)
    }

    /** True if voters are stored, and [names] are most processes of each set that may be. */
    fun isMajority(names: Set<String>): Boolean = stored != null && possible.all { isMajorityOf(it.processes, names) }

    /** True if [workers] are most workers of each set that may be stored and has any. */
    fun isMajorityOfWorkers(workers: Set<WorkerIncarnation>): Boolean =
        possible.all { it.workers.isEmpty() || isMajorityOf(it.workers, workers) }
}
