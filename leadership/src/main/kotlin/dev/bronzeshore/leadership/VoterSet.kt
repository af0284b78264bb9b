/** Which sets of voters may be stored, and whether some of them are a majority of each. */
package dev.bronzeshore.leadership

/**
 * The leader changes the stored voters, and a write without an answer may take effect later. Until that is settled,
 * each set that may be stored has to agree. Confined to the control thread.
 */
internal class VoterSet {
    /** The voters that are stored, as far as this is known; null if there are none, or they have not been read. */
    var stored: Set<String>? = null
        private set

    /** Voters whose write got no answer, with the version of the row that it required. */
    private val unsettled = ArrayList<Pair<Long, Set<String>>>()

    /** [voters] are stored under [version], null after a write; writes that require another version never apply. */
    fun observe(voters: Set<String>?, version: Long?) {
        stored = voters
        unsettled.removeAll { it.first != version }
    }

    /** A write of [voters] that requires [version] may apply from now on. */
    fun propose(voters: Set<String>, version: Long) {
        unsettled += version to voters
    }

    /** The write of [voters] has not applied, and will not. */
    fun withdraw(voters: Set<String>) {
        val index = unsettled.indexOfLast { it.second == voters }
        if (index >= 0) unsettled.removeAt(index)
    }

    /** True if voters are stored, and [names] are a majority of each set that may be. */
    fun isMajority(names: Set<String>): Boolean {
        val known = stored ?: return false
        return isMajorityOf(known, names) && unsettled.all { isMajorityOf(it.second, names) }
    }
}

/** True if more than half of [voters] are among [names]. */
internal fun isMajorityOf(voters: Set<String>, names: Set<String>): Boolean =
    2 * voters.count { it in names } > voters.size
