/**
 * Goes on while the leader's own partition of the store does not respond and others do.
 *
 * The load it answers: the store loses some partitions for seconds, among them the one that holds the leader's term
 * and journal. Without it, no job that was stored meanwhile would start, and no end would be shown. It confirms the
 * term and stores ends in the partitions of the jobs, under this leader's fences. Runs' ends are not acknowledged to
 * workers on the strength of it: the next leader hears of them again.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.delay

/** A write to the leader's partition takes 10 ms, in a slow period of the store 300 ms, and 600 ms if it gets lost. */
private const val SILENCE_MS = 1_000L
private const val POLL_PERIOD_MS = 40L

/** Time for which a partition that did not respond is avoided. */
private const val AVOIDED_MS = 1_000L

/** A transaction holds up to 100 entries. */
private const val MAX_ENDS_IN_WRITE = 90

internal class PartitionWriter(private val context: TermContext, private val journal: ProgressJournal) {
    private val partitionsInFlight = HashSet<String>()
    private val avoidedUntilMs = HashMap<String, Long>()
    private var isActive = false

    suspend fun run() {
        while (true) {
            delay(POLL_PERIOD_MS)
            val silentForMs = journal.unconfirmedSinceMs?.let { context.clock() - it } ?: 0
            if (isActive != silentForMs > SILENCE_MS) logChange(silentForMs)
            if (isActive) writeDue()
        }
    }

    private fun logChange(silentForMs: Long) {
        isActive = !isActive
        val event = if (isActive) "leader_partition_silent" else "leader_partition_back"
        context.log.event(event, "silent_for_ms" to silentForMs)
    }

    private fun writeDue() {
        val ended = context.jobRegistry.allJobs.filter { !it.isOpen && !it.savedPhase.isEnded }
        val unconfirmed = context.jobRegistry.openJobs.filterNot { context.confirmation.covers(it) }
        val endedByPartition = ended.groupBy { partitionOf(it) }
        val confirming = if (context.confirmation.isExpiryOpen) anyPartition() else null
        for (partition in endedByPartition.keys + unconfirmed.map { partitionOf(it) } + listOfNotNull(confirming)) {
            if (!partitionsInFlight.add(partition)) continue
            val jobs = endedByPartition[partition].orEmpty().take(MAX_ENDS_IN_WRITE)
            context.launchGuarded("partition write") {
                try {
                    write(partition, jobs)
                } finally {
                    partitionsInFlight -= partition
                }
            }
        }
    }

    private fun partitionOf(job: TrackedJob): String {
        val partitions = IntakeRows.partitionsOf(job.id)
        return partitions.firstOrNull { !isAvoided(it) } ?: partitions.first()
    }

    /** A partition that may respond, one with a write in flight first. */
    private fun anyPartition(): String? = (partitionsInFlight + Tables.INTAKE_PARTITIONS).firstOrNull { !isAvoided(it) }

    private fun isAvoided(partition: String) = (avoidedUntilMs[partition] ?: Long.MIN_VALUE) > context.clock()

    private suspend fun write(partition: String, ended: List<TrackedJob>) {
        val sentAtMs = context.clock()
        val phases = ended.associateWith { it.phase }
        val rows = ended.map {
            RowWrite(IntakeRows.endRow(it.id, partition), encodeRow(JobProgress.serializer(), it.toProgress()))
        }
        val outcome = context.fences.write(partition, rows)
        if (outcome !is StoreOutcome.Applied) {
            // A refused write is repeated there: the partition has responded, and told the version of the fence.
            if (outcome !is StoreOutcome.Conflict) avoidedUntilMs[partition] = context.clock() + AVOIDED_MS
            return
        }
        context.confirmation.recordPartition(partition, sentAtMs)
        phases.forEach { (job, phase) ->
            job.noteSaved(phase)
            if (partition != Tables.intakePartitionOf(job.id)) context.jobRegistry.markAlternate(job.id)
        }
        context.log.event("partition_confirmed", "partition" to partition, "ends" to ended.size)
        context.wakePlanner()
    }
}
