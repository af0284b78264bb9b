/** Outages of the table service and lost responses, with real processes. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.Resources
import dev.bronzeshore.standins.DownMode
import dev.bronzeshore.standins.Faults
import dev.bronzeshore.standins.ServerRecords
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test

/** Four times the ownership lease. */
private const val OUTAGE_MS = 12_000L

/** Workers report ended tasks with heartbeats 2 s apart; a gap longer than two heartbeats is an interruption. */
private const val LONGEST_START_GAP_MS = 5_000L
private const val END_TIMEOUT_MS = 90_000L
private const val DROPPED_SHARE = 0.05
private const val DROP_SEED = 20_261L

internal class StoreFaultProcessTest : ClusterTest(size = 3) {
    /** Guards against owners that stop placing work in an outage of the store, and against lost or repeated work. */
    @Test
    @Order(1)
    fun `requests and placement continue through a store outage and all jobs end`() {
        val jobs = JobBatch("outage") { cluster.entries }
        RequestLoad("outage") { cluster.entries }.use { load ->
            jobs.submit(dataCentreNames, count = JOBS_FOR_OUTAGE)
            cluster.setTableFaults(Faults(down = DownMode.CLOSE_CONNECTION))
            val downAtMs = System.currentTimeMillis()
            val refusals = cluster.entries.mapIndexed { index, entry ->
                entry.submit("refused-$index", JobSubmission("seasonPlan", Resources(1_000, GIB)))
            }
            awaitUntil("the outage is over", OUTAGE_MS * 2) { System.currentTimeMillis() - downAtMs >= OUTAGE_MS }
            cluster.setTableFaults(Faults())
            val upAtMs = System.currentTimeMillis()
            val failedJobs = jobs.awaitEnds(END_TIMEOUT_MS)
            val results = load.finish()
            val records = cluster.records()
            val gaps = dataCentreNames.associateWith { longestGapMs(startsIn(records, it), downAtMs, upAtMs) }
            val during = dataCentreNames.associateWith { name ->
                startsIn(records, name).count { it in downAtMs..upAtMs }
            }
            println("outage: ${results.size} requests, starts $during, longest gaps $gaps ms, refusals $refusals")
            assertEquals(emptyList<Any>(), violationsOf(records, results, jobs), cluster::logs)
            assertEquals(emptyList<Any>(), results.filterNot { it.isCorrect }, cluster::logs)
            assertEquals(emptyList<String>(), failedJobs)
            // If no job were left after the outage, the gaps would only show that the queue ran empty.
            dataCentreNames.forEach { name ->
                assertTrue(startsIn(records, name).last() > upAtMs, "no job left in $name")
            }
            refusals.forEach { assertNotNull(it.fault, it.text) }
            assertTrue(gaps.values.all { it <= LONGEST_START_GAP_MS }) { "$gaps\n${cluster.logs()}" }
        }
    }

    /** Guards against a lost response that is treated as a failed write: a job accepted twice or never run. */
    @Test
    @Order(2)
    fun `lost responses of the store cause no violation and no second job`() {
        val jobs = JobBatch("dropped") { cluster.entries }
        RequestLoad("dropped") { cluster.entries }.use { load ->
            cluster.setTableFaults(Faults(dropAnswerShare = DROPPED_SHARE, dropSeed = DROP_SEED))
            jobs.submit(dataCentreNames, JOBS_WITH_DROPS)
            val differing = jobs.resubmitAll()
            val failedJobs = jobs.awaitEnds(END_TIMEOUT_MS)
            val results = load.finish()
            cluster.setTableFaults(Faults())
            val failed = results.filterNot { it.isCorrect }
            println("dropped: ${results.size} requests, ${failed.size} not answered, ${jobs.size} jobs")
            assertEquals(emptyList<Any>(), violationsOf(cluster.records(), results, jobs), cluster::logs)
            assertEquals(emptyList<String>(), differing)
            assertEquals(emptyList<String>(), failedJobs, cluster::logs)
            assertEquals(emptyList<Any>(), failed, cluster::logs)
        }
    }

    private fun startsIn(records: List<ServerRecords>, dataCentre: String): List<Long> =
        tasksIn(records, dataCentre).map { it.startedAtMs }.sorted()

    private fun longestGapMs(starts: List<Long>, fromMs: Long, untilMs: Long): Long =
        (listOf(fromMs) + starts.filter { it in fromMs..untilMs } + untilMs).zipWithNext { a, b -> b - a }.max()

    private companion object {
        /** Four run at a time and each takes one heartbeat of 2 s, so that jobs remain until after the outage. */
        const val JOBS_FOR_OUTAGE = 72
        const val JOBS_WITH_DROPS = 10
    }
}
