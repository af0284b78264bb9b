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
        val victim = checkNotNull(cluster.ownerOf("ridge"))
        val lost = checkNotNull(victim.status()).owned
        val others = cluster.entries - victim
        val jobs = JobBatch("kill") { others }
        RequestLoad("kill") { others }.use { load ->
            submitLastTo(lost.map { it.dataCentre }, jobs)
            val killedAtMs = System.currentTimeMillis()
            victim.child.kill()
            lost.forEach { owned ->
                awaitUntil("tasks start again in ${owned.dataCentre}", END_TIMEOUT_MS) {
                    tasksIn(cluster.records(), owned.dataCentre).any { it.term > owned.term }
                }
            }
            val failedJobs = jobs.awaitEnds(END_TIMEOUT_MS)
            val ends = load.finish()
            val records = cluster.records()
            val restartsMs = lost.associate { owned ->
                val again = tasksIn(records, owned.dataCentre).filter { it.term > owned.term }
                owned.dataCentre to again.minOf { it.startedAtMs } - killedAtMs
            }
            println("kill: ${ends.size} requests, ${jobs.size} jobs, task starts after the kill $restartsMs ms")
            assertEquals(emptyList<Any>(), violationsOf(records, ends, jobs))
            assertEquals(emptyList<Any>(), ends.filterNot { it.isCorrect }, cluster::logs)
            assertEquals(emptyList<String>(), failedJobs)
            assertTrue(restartsMs.values.all { it <= TAKEOVER_LIMIT_MS }) { "$restartsMs\n${cluster.logs()}" }
        }
        cluster.replace(victim)
        cluster.awaitServing()
    }

    /** Guards against a former owner that keeps assigning work with the state from before the pause. */
    @Test
    @Order(2)
    fun `a paused owner assigns no work in its former term after it resumes`() {
        val victim = checkNotNull(cluster.ownerOf("valley"))
        val lost = checkNotNull(victim.status()).owned
        val others = cluster.entries - victim
        val jobs = JobBatch("pause") { others }
        RequestLoad("pause") { others }.use { load ->
            submitLastTo(lost.map { it.dataCentre }, jobs)
            val pausedAtMs = System.currentTimeMillis()
            victim.child.signal("STOP")
            val resumeAtMs = pausedAtMs + PAUSE_MS
            awaitUntil("the pause is over", PAUSE_MS * 2) { System.currentTimeMillis() >= resumeAtMs }
            victim.child.signal("CONT")
            val resumedAtMs = System.currentTimeMillis()
            RequestLoad("resumed") { listOf(victim) }.use { resumedLoad ->
                val failedJobs = jobs.awaitEnds(END_TIMEOUT_MS)
                val ends = load.finish() + resumedLoad.finish()
                val records = cluster.records()
                lost.forEach { owned ->
                    assertTrue(tasksIn(records, owned.dataCentre).any { it.term > owned.term }, owned.dataCentre)
                }
                val stale = lost.flatMap { owned ->
                    tasksIn(records, owned.dataCentre)
                        .filter { it.term <= owned.term && it.startedAtMs > resumedAtMs }
                }
                val failed = ends.filterNot { it.isCorrect }
                println("pause: ${ends.size} requests, ${failed.size} not answered, ${jobs.size} jobs")
                assertEquals(emptyList<Any>(), violationsOf(records, ends, jobs), cluster::logs)
                assertEquals(emptyList<Any>(), stale)
                assertEquals(emptyList<String>(), failedJobs)
                assertEquals(emptyList<Any>(), failed.filter { it.entryId != victim.id }, cluster::logs)
            }
        }
    }

    /** Submits to the data centres in [lost] last, so that some of their jobs still wait when the owner is lost. */
    private fun submitLastTo(lost: List<String>, jobs: JobBatch) {
        jobs.submit(dataCentreNames - lost.toSet(), count = 4)
        jobs.submit(lost, count = 24)
    }
}
