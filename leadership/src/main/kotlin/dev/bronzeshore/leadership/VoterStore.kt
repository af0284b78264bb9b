/** Reads and writes the voters in the store, under a term. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.WorkerIncarnation
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.encodeRow

/** What is stored of the voters, null if none are stored or can be read, and the version of their row. */
internal class StoredVoters(val electorate: Electorate?, val version: Long) {
    val isMalformed: Boolean get() = electorate == null && version > 0
}

internal class VoterStore(private val store: ClusterStore, private val term: LeaderTerm) {
    private val log = EventLog("leadership")

    /** What is stored while the term is held; null if that cannot be read, or another term has begun. */
    suspend fun read(): StoredVoters? {
        val page = store.readPage(RowRangeQuery(Tables.LEADER, Tables.LEADER_PARTITION)).getOrNull()
        val rows = page?.rows.orEmpty()
        if (rows.none { it.id == Tables.TERM_ROW && it.version == term.termRowVersion }) return null
        val row = rows.firstOrNull { it.id == Tables.VOTERS_ROW } ?: return StoredVoters(electorate = null, version = 0)
        // A transaction gives its rows one version; earlier releases write the processes alone.
        val workers = rows.firstOrNull { it.id == Tables.VOTING_WORKERS_ROW && it.version == row.version }
        return StoredVoters(row.value?.let { electorateOf(it, workers?.value) }, row.version)
    }

    /** Stores [voters] if the term is held, and those that are stored still have [version]. */
    suspend fun write(voters: Electorate, version: Long): StoreOutcome {
        val processes = VotersRow(term.term, voters.processes.sorted())
        val workers = VotingWorkersRow(voters.workers.map { WorkerVoter(it.workerId, it.startedAtMs) })
        val transaction = StoreTransaction(
            listOf(RowCondition(Tables.TERM_ROW, term.termRowVersion), RowCondition(Tables.VOTERS_ROW, version)),
            listOf(
                RowWrite(Tables.VOTERS_ROW, encodeRow(VotersRow.serializer(), processes)),
                RowWrite(Tables.VOTING_WORKERS_ROW, encodeRow(VotingWorkersRow.serializer(), workers)),
            ),
        )
        return store.transact(transaction)
    }

    /** Null if the processes cannot be decoded; without the workers, the promises of processes still suffice. */
    private fun electorateOf(processes: ByteArray, workers: ByteArray?): Electorate? {
        val names = decodeRow(VotersRow.serializer(), processes).onLeft(::logMalformed).getOrNull()?.processNames
        val voting = workers?.let { decodeRow(VotingWorkersRow.serializer(), it).onLeft(::logMalformed).getOrNull() }
        val incarnations = voting?.workers.orEmpty().mapTo(HashSet()) { WorkerIncarnation(it.workerId, it.startedAtMs) }
        return names?.let { Electorate(it.toSet(), incarnations) }
    }

    private fun logMalformed(cause: String) = log.event("voters_malformed", "cause" to cause)
}
