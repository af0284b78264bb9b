/** Capacity that is kept for gangs: others wait for it only as long as the gang may soon start. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AdviceTerms
import dev.bronzeshore.core.cluster.ClientAccount
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.KeyDigest
import dev.bronzeshore.core.cluster.StepName
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val GANG = "00000000000000aa"
private const val SECOND_GANG = "00000000000000ab"
private const val THIRD_GANG = "00000000000000ac"
private const val SOUND = "00000000000000bb"
private const val BUSY = "00000000000000cc"
private const val ACCOUNT = "a"
private const val LABEL = "large"

private const val ESTIMATE_MS = 400L
private const val FIRST_STEP_MS = 6_000L
private const val ENDLESS_MS = 600_000L

/** Longer than the test, and short enough for progress that the leader sees. */
private const val LONG_MS = 120_000L
private const val TERM_MS = 1_700L

/** Time after which the leader has noticed that a worker does not answer. */
private const val UNREACHABLE_AFTER_MS = 1_000L

/** Both steps of the sound job may wait this long, and run. */
private const val SOUND_WITHIN_MS = 2 * MAX_IDLE_WAIT_MS + FIRST_STEP_MS + ESTIMATE_MS + 100

private fun gang(replicas: Int, cores: Int, maxPerWorker: Int = 0, label: String? = null) =
    step(replicas, cores, ESTIMATE_MS, isGang = true).copy(maxPerWorker = maxPerWorker, requiredLabel = label)

class KeptCapacityTest {
    internal data class Blocked(
        val name: String,
        val workers: Int = 7,
        val label: String? = null,
        val account: String? = null,
        val hasLeaderChanges: Boolean = false,
        val arrange: suspend SchedulerSimulation.() -> Unit,
    ) {
        override fun toString() = name
    }

    /**
     * Guards against idle workers that are kept without end for a gang that does not start: a job whose second step is
     * late by its estimate waits behind the gang.
     */
    @ParameterizedTest
    @MethodSource("blockedGangs")
    internal fun `work goes on beside a gang that cannot start`(case: Blocked) = runTest {
        val simulation = SchedulerSimulation(this, seed = 91, workerCount = case.workers)
        val monitor = IdleWorkerMonitor(simulation)
        simulation.lead()
        simulation.awaitRoster()
        case.arrange(simulation)
        backgroundScope.launch { monitor.watch() }
        if (case.hasLeaderChanges) backgroundScope.launch { changeLeaders(simulation) }
        simulation.runTimesMs[StepName(SOUND, 0, 0)] = FIRST_STEP_MS
        val first = step(1, cores = 2, ESTIMATE_MS).copy(requiredLabel = case.label)
        simulation.submit(SOUND, first, first.copy(after = listOf(0)), account = case.account)
        assertTrue(simulation.awaitPhase(SOUND, JobPhase.COMPLETED, SOUND_WITHIN_MS)) { "${monitor.violations}" }
        assertEquals(emptyList<String>(), monitor.violations + simulation.workers.checker.violations)
    }

    private suspend fun changeLeaders(simulation: SchedulerSimulation) {
        while (true) {
            delay(TERM_MS)
            simulation.stopLeader()
            simulation.lead()
        }
    }

    internal data class Stream(
        val name: String,
        val everyMs: Long,
        val runTimeMs: Long = ESTIMATE_MS,
        /** Time in which the gang has run: what runs when it is handed in ends, and the gang runs. */
        val gangWithinMs: Long,
    ) {
        override fun toString() = name
    }

    /** Guards against a gang that starves behind a stream of small jobs, and against jobs that starve behind it. */
    @ParameterizedTest
    @MethodSource("streams")
    internal fun `a gang that needs all workers starts beside a stream of small jobs`(case: Stream) = runTest {
        val simulation = SchedulerSimulation(this, seed = 92, workerCount = 7)
        val monitor = IdleWorkerMonitor(simulation)
        simulation.lead()
        simulation.awaitRoster()
        backgroundScope.launch { monitor.watch() }
        val ids = ArrayList<String>()
        val stream = backgroundScope.launch {
            while (true) {
                val id = (ids.size + 1).toString(16).padStart(16, 'd')
                simulation.runTimesMs[StepName(id, 0, 0)] = case.runTimeMs
                simulation.submit(id, step(1, cores = 2, ESTIMATE_MS))
                ids += id
                delay(case.everyMs)
            }
        }
        awaitUntil { simulation.workers.checker.runningCount > 0 }
        delay(ESTIMATE_MS)
        simulation.submit(GANG, gang(7, cores = 16))
        assertTrue(simulation.awaitPhase(GANG, JobPhase.COMPLETED, case.gangWithinMs))
        stream.cancel()
        val last = ids.last()
        assertTrue(simulation.awaitPhase(last, JobPhase.COMPLETED, MAX_IDLE_WAIT_MS + case.runTimeMs))
        assertEquals(emptyList<String>(), monitor.violations + simulation.workers.checker.violations)
    }

    companion object {
        private suspend fun SchedulerSimulation.startService() {
            submit(BUSY, step(1, cores = 1, ENDLESS_MS).copy(isService = true))
            awaitUntil { workers.checker.runningCount == 1 }
        }

        private suspend fun SchedulerSimulation.startLongTask(runTimeMs: Long) {
            runTimesMs[StepName(BUSY, 0, 0)] = runTimeMs
            submit(BUSY, step(1, cores = 1, ESTIMATE_MS))
            awaitUntil { workers.checker.runningCount == 1 }
        }

        private suspend fun SchedulerSimulation.occupy(workerCount: Int, durationMs: Long) {
            submit(BUSY, step(workerCount, cores = 16, durationMs))
            awaitUntil { workers.checker.runningCount == workerCount }
        }

        /** Hands in a gang that six workers hold by capacity, but not by its limit for each worker. */
        private fun SchedulerSimulation.submitLimitedGang(label: String? = null) =
            submit(GANG, gang(45, cores = 2, maxPerWorker = 7, label = label))

        private fun SchedulerSimulation.label(workerIds: List<String>) =
            workerIds.forEach { id -> workers.update(id) { it.copy(labels = setOf(LABEL)) } }

        private fun SchedulerSimulation.setLimit(cores: Long) {
            val account = ClientAccount(ACCOUNT, Resources(cores * 1_000, 1_000), weight = 100.0)
            accounts = ClientAccounts(mapOf(KeyDigest.of("k") to account))
        }

        private suspend fun SchedulerSimulation.arrangeUnlikeGangs() {
            val count = workers.ids.size
            startService()
            submit(GANG, gang(2 * count, cores = 8, maxPerWorker = 1))
            submit(SECOND_GANG, gang(count, cores = 16), priority = 0)
            submit(THIRD_GANG, gang(3 * count, cores = 5, maxPerWorker = 2), priority = 2)
        }

        /**
         * Half of the gang's workers crash right after its start, and come back too small for it; the others crash when
         * their runs are proven.
         */
        private suspend fun SchedulerSimulation.crashGangForGood() {
            submit(GANG, step(12, cores = 8, LONG_MS, isGang = true))
            awaitUntil { workers.checker.runningCount == 12 }
            val (first, last) = workers.ids.sorted().let { it.take(3) to it.drop(3) }
            first.forEach { workers.crashAndReplace(it) }
            delay(UNREACHABLE_AFTER_MS)
            last.forEach { workers.crashAndReplace(it) }
            awaitUntil { workers.ids.containsAll((first + last).map { "$it+" }) }
            val small = WORKER_CAPACITY.copy(processorsMillicores = 1_000)
            first.forEach { id -> workers.update("$id+") { it.copy(capacity = small) } }
            delay(UNREACHABLE_AFTER_MS)
        }

        /** Hands in jobs whose tasks have workers, and whose tickets expire before these are free. */
        private suspend fun SchedulerSimulation.submitWithoutTickets() {
            occupy(workerCount = 7, durationMs = 1_000)
            adviceTerms = AdviceTerms(decisionMs = 100.0, perWorkerMs = 1.0, validityMs = 200)
            repeat(6) { submit("000000000000001$it", step(12, cores = 4, LONG_MS)) }
            adviceTerms = null
            delay(500)
            isAdviceSilent = true
        }

        @JvmStatic
        fun blockedGangs(): List<Any> = listOf(
            Blocked("more members than its limit for each worker allows") {
                submit(GANG, gang(14, cores = 8, maxPerWorker = 1))
            },
            Blocked("too few workers with its label", label = LABEL) {
                label(listOf("w0", "w1", "w2"))
                submit(GANG, gang(6, cores = 8, maxPerWorker = 1, label = LABEL))
            },
            Blocked("a worker is lost after the gang was handed in") {
                occupy(workerCount = 6, durationMs = 2_000)
                submitLimitedGang()
                delay(200)
                workers.crash(workers.ids.first { workers.checker.tasksOn(it).isEmpty() })
                delay(UNREACHABLE_AFTER_MS)
            },
            Blocked("a worker is drained after the gang was handed in") {
                occupy(workerCount = 7, durationMs = 1_000)
                submitLimitedGang()
                workers.drain("w6")
            },
            Blocked("a worker shrinks after the gang was handed in") {
                occupy(workerCount = 7, durationMs = 1_000)
                submitLimitedGang()
                workers.update("w6") { it.copy(capacity = WORKER_CAPACITY.copy(processorsMillicores = 1_000)) }
            },
            Blocked("a worker loses its label after the gang was handed in", label = LABEL) {
                label(workers.ids.toList())
                occupy(workerCount = 7, durationMs = 1_000)
                submitLimitedGang(LABEL)
                workers.update("w6") { it.copy(labels = emptySet()) }
            },
            Blocked("a service runs on one of its workers") {
                startService()
                submit(GANG, gang(7, cores = 16))
            },
            Blocked("a task that exceeds its estimate runs on one of its workers") {
                startLongTask(LONG_MS)
                submit(GANG, gang(7, cores = 16))
            },
            Blocked("several gangs of unlike kinds") { arrangeUnlikeGangs() },
            Blocked("several gangs on three workers", workers = 3) { arrangeUnlikeGangs() },
            Blocked("several gangs on 60 workers", workers = 60) { arrangeUnlikeGangs() },
            Blocked("a service takes a part of its account's limit", account = ACCOUNT) {
                setLimit(cores = 32)
                submit(BUSY, step(1, cores = 4, ENDLESS_MS).copy(isService = true), account = ACCOUNT)
                awaitUntil { workers.checker.runningCount == 1 }
                submit(GANG, gang(8, cores = 4), account = ACCOUNT)
            },
            Blocked("tickets are not renewed") { submitWithoutTickets() },
            Blocked("members that are suspected to crash their workers", workers = 6) { crashGangForGood() },
            Blocked("a new leader again and again", hasLeaderChanges = true) {
                startService()
                submit(GANG, gang(7, cores = 16))
            },
            Blocked("a new leader again and again, several gangs", hasLeaderChanges = true) { arrangeUnlikeGangs() },
        )

        @JvmStatic
        fun streams(): List<Any> = listOf(
            Stream("many small jobs", everyMs = 30, gangWithinMs = 2_000),
            Stream("some small jobs", everyMs = 400, gangWithinMs = 2_000),
            Stream("jobs that exceed their estimates", everyMs = 100, runTimeMs = 1_500, gangWithinMs = 5_000),
        )
    }
}
