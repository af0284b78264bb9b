/** Killed and paused owners of data centres, with real processes. */
package dev.bronzeshore.server.processes

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test

private const val TAKEOVER_LIMIT_MS = 5_000L
private const val PAUSE_MS = 8_000L
private const val END_TIMEOUT_MS = 60_000L

internal class OwnerLossProcessTest : ClusterTest(size = 4) {
    /** Guards against a data centre that stays without an owner and against work lost or repeated by the takeover. */
    @Test
    @Order(1)
    fun `a killed owner is replaced within 5 s and nothing is lost or repeated`() {
        val formerOwner = checkNotNull(cluster.ownerOf("ridge"))
        val lostDataCentres = checkNotNull(formerOwner.status()).owned
        val others = cluster.entries - formerOwner
        val jobs = JobBatch("kill") { others }
        RequestLoad("kill") { others }.use { load ->
            submitLastTo(lostDataCentres.map { it.dataCentre }, jobs)
            val killedAtMs = System.currentTimeMillis()
            formerOwner.child.kill()
            lostDataCentres.forEach { owned ->
                awaitUntil("tasks start again in ${owned.dataCentre}", END_TIMEOUT_MS) {
                    tasksIn(cluster.records(), owned.dataCentre).any { it.term > owned.term }
                }
            }
            val failedJobs = jobs.awaitEnds(END_TIMEOUT_MS)
            val results = load.finish()
            val records = cluster.records()
            val restartsMs = lostDataCentres.associate { owned ->
                val again = tasksIn(records, owned.dataCentre).filter { it.term > owned.term }
                owned.dataCentre to again.minOf { it.startedAtMs } - killedAtMs
            }
            println("kill: ${results.size} requests, ${jobs.size} jobs, task starts after the kill $restartsMs ms")
            assertEquals(emptyList<Any>(), violationsOf(records, results, jobs))
            assertEquals(emptyList<Any>(), results.filterNot { it.isCorrect }, cluster::logs)
            assertEquals(emptyList<String>(), failedJobs)
            assertTrue(restartsMs.values.all { it <= TAKEOVER_LIMIT_MS }) { "$restartsMs\n${cluster.logs()}" }
        }
        cluster.replace(formerOwner)
        cluster.awaitServing()
    }

    /** Guards against a former owner that keeps assigning work with the state from before the pause. */
    @Test
    @Order(2)
    fun `a paused owner assigns no work in its former term after it resumes`() {
        val formerOwner = checkNotNull(cluster.ownerOf("valley"))
        val lostDataCentres = checkNotNull(formerOwner.status()).owned
        val others = cluster.entries - formerOwner
        val jobs = JobBatch("pause") { others }
        RequestLoad("pause") { others }.use { load ->
            submitLastTo(lostDataCentres.map { it.dataCentre }, jobs)
            val pausedAtMs = System.currentTimeMillis()
            formerOwner.child.signal("STOP")
            val resumeAtMs = pausedAtMs + PAUSE_MS
            awaitUntil("the pause is over", PAUSE_MS * 2) { System.currentTimeMillis() >= resumeAtMs }
            formerOwner.child.signal("CONT")
            val resumedAtMs = System.currentTimeMillis()
            RequestLoad("resumed") { listOf(formerOwner) }.use { resumedLoad ->
                val failedJobs = jobs.awaitEnds(END_TIMEOUT_MS)
                val results = load.finish() + resumedLoad.finish()
                val records = cluster.records()
                lostDataCentres.forEach { owned ->
                    assertTrue(tasksIn(records, owned.dataCentre).any { it.term > owned.term }, owned.dataCentre)
                }
                val stale = lostDataCentres.flatMap { owned ->
                    tasksIn(records, owned.dataCentre)
                        .filter { it.term <= owned.term && it.startedAtMs > resumedAtMs }
                }
                val failed = results.filterNot { it.isCorrect }
                println("pause: ${results.size} requests, ${failed.size} not answered, ${jobs.size} jobs")
                assertEquals(emptyList<Any>(), violationsOf(records, results, jobs), cluster::logs)
                assertEquals(emptyList<Any>(), stale)
                assertEquals(emptyList<String>(), failedJobs)
                assertEquals(emptyList<Any>(), failed.filter { it.entryId != formerOwner.id }, cluster::logs)
            }
        }
    }

    /** Submits to [lostDataCentres] last, so that some of their jobs still wait when the owner is lost. */
    private fun submitLastTo(lostDataCentres: List<String>, jobs: JobBatch) {
        jobs.submit(dataCentreNames - lostDataCentres.toSet(), count = 4)
        jobs.submit(lostDataCentres, count = 24)
    }
}
