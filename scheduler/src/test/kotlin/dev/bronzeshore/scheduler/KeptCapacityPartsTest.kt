/** Capacity that is kept on a worker for a gang, when it is expected to be free, and for how long it is kept. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.TaskRun
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource

private const val NOW_MS = 100_000L
private const val ENDLESS = -1L
private val CAPACITY = Resources(16_000, 32_000)

private fun trackedStep(
    cores: Int,
    estimateMs: Long = 1_000,
    replicas: Int = 1,
    acceptedAtMs: Long = NOW_MS,
    change: (StepDescription) -> StepDescription = { it },
): TrackedStep {
    val step = change(StepDescription(replicas, Resources(cores * 1_000L, 1), estimateMs))
    val job = AcceptedJob("j", JobDescription("", listOf(step)), QueueTerms("q", "service", 1, 3, 2.0, 500), 0)
    return TrackedJob(job, acceptedAtMs, knownAtMs = NOW_MS).openSteps.first()
}

private fun workerWith(runs: List<Pair<Int, Long>>): RoundWorker {
    val worker = TrackedWorker(testWorkerEntry(startedAtMs = 1, CAPACITY))
    for ((cores, remainingMs) in runs) {
        val step = trackedStep(cores, remainingMs.coerceAtLeast(1)) { it.copy(isService = remainingMs == ENDLESS) }
        val task = step.tasks.first()
        worker.add(Placement(task, worker, TaskRun(task.name, worker.placements.size + 1L), orderedAtMs = NOW_MS))
    }
    return RoundWorker(worker, slowness = 1.0, NOW_MS)
}

internal class KeptCapacityPartsTest {
    internal data class RoomCase(
        val name: String,
        /** Processors and remaining time of each run. */
        val runs: List<Pair<Int, Long>>,
        val gangCores: Int,
        val gangStartsInMs: Long,
        val estimateMs: Long,
        val isService: Boolean = false,
        val freeCores: Int,
    ) {
        override fun toString() = name
    }

    /** Guards against a small task that puts off a gang's start, and against places that lie idle until then. */
    @ParameterizedTest
    @MethodSource("rooms")
    internal fun `what is kept for a gang is left to tasks that end before`(case: RoomCase) {
        val worker = workerWith(case.runs)
        worker.keep(trackedStep(case.gangCores), count = 1, NOW_MS + case.gangStartsInMs)
        val other = trackedStep(1, case.estimateMs) { it.copy(isService = case.isService) }
        assertEquals(case.freeCores * 1_000L, worker.roomFor(other).processorsMillicores)
        assertEquals(worker.free, worker.roomFor(other, usesKept = true))
    }

    internal data class PlacesCase(
        val name: String,
        val runs: List<Pair<Int, Long>>,
        val cores: Int,
        val maxPerWorker: Int = 0,
        val inMs: List<Long>,
    ) {
        override fun toString() = name
    }

    /** Guards against a gang that counts on capacity which does not become free, or beyond its limit for a worker. */
    @ParameterizedTest
    @MethodSource("places")
    internal fun `places become free when runs end`(case: PlacesCase) {
        val gang = trackedStep(case.cores, replicas = 4) { it.copy(isGang = true, maxPerWorker = case.maxPerWorker) }
        val places = workerWith(case.runs).expectedPlaces(gang, most = 4)
        assertEquals(case.inMs, places.map { it.atMs - NOW_MS })
    }

    /** Guards against a run that is expected to end soon for ever, although it has long exceeded its estimate. */
    @ParameterizedTest(name = "estimate {0}, {1} % after {2} ms, running {3} ms: ends in {4}")
    @CsvSource(
        "1000, 0, 0, 400, 600",
        "1000, 0, 0, 2900, 50",
        "1000, 0, 0, 3100,",
        "1000, 50, 500, 700, 300",
        "1000, 10, 1000, 1000, 9000",
        "1000, 100, 1000, 3100,",
    )
    fun `the end of a run follows from its progress or its estimate`(
        estimateMs: Long,
        percent: Int,
        reportedAfterMs: Long,
        runningMs: Long,
        endsInMs: Long?,
    ) {
        val startedAtMs = NOW_MS - runningMs
        val task = trackedStep(1, estimateMs).tasks.first()
        val worker = TrackedWorker(testWorkerEntry(startedAtMs = 1, CAPACITY))
        val placement = Placement(task, worker, TaskRun(task.name, 1), startedAtMs)
        placement.progress.observe(0, RunEvidence(startedAtMs, 0))
        placement.progress.observe(percent, RunEvidence(startedAtMs + reportedAfterMs, reportedAfterMs))
        assertEquals(endsInMs, placement.expectedEndMs(slowness = 1.0, NOW_MS)?.let { it - NOW_MS })
    }

    /**
     * Guards against reservations that follow one another without a pause, also when leaders change: each row is a
     * time after the gang was accepted at which its leader plans.
     */
    @ParameterizedTest(name = "known after {0} ms, expected start in {1} ms: reserved {2}")
    @CsvSource(
        "0, 500, 0:yes 9900:yes 10000:no 12400:no 12500:yes",
        "0, 5000, 0:yes 14900:yes 15000:no 17500:yes",
        "1000, 500, 1000:no 1900:no 2000:yes",
        "8000, 500, 8000:no 10400:no 10500:yes",
    )
    fun `a reservation ends, and a new leader begins with a pause`(knownAfterMs: Long, startsInMs: Long, rows: String) {
        val gang = trackedStep(1, acceptedAtMs = NOW_MS - knownAfterMs) { it.copy(isGang = true) }
        val seen = rows.split(' ').map { it.substringBefore(':') }.map { atMs ->
            val now = NOW_MS - knownAfterMs + atMs.toLong()
            "$atMs:${if (gang.reservations?.renew(now, now + startsInMs) == null) "no" else "yes"}"
        }
        assertEquals(rows, seen.joinToString(" "))
    }

    /** Guards against waits that begin anew with each leader, or after each short interruption. */
    @ParameterizedTest(name = "known after {0} ms, kept out at {1}: waited {2} ms")
    @CsvSource("0, 0, 0", "0, 0 400 900, 900", "0, 0 400 1000, 0", "5000, 0, 5000", "5000, 0 600, 5000")
    fun `the time for which a step is kept from starting adds up`(ageMs: Long, atMs: String, waitedMs: Long) {
        val step = trackedStep(1, acceptedAtMs = NOW_MS - ageMs)
        assertEquals(waitedMs, atMs.split(' ').map { step.noteKeptOut(NOW_MS + it.toLong()) }.last())
    }

    companion object {
        @JvmStatic
        fun rooms(): List<Any> = listOf(
            RoomCase("ends before", listOf(8 to 1_000L), 16, gangStartsInMs = 1_000, estimateMs = 600, freeCores = 8),
            RoomCase("ends later", listOf(8 to 1_000L), 16, gangStartsInMs = 1_000, estimateMs = 700, freeCores = 0),
            RoomCase("room beside", listOf(4 to 9_000L), 8, gangStartsInMs = 1_000, estimateMs = 9_000, freeCores = 4),
            RoomCase(
                "run ends before",
                listOf(4 to 500L),
                8,
                gangStartsInMs = 1_000,
                estimateMs = 9_000,
                freeCores = 8,
            ),
            RoomCase("no estimate", emptyList(), 16, gangStartsInMs = 1_000, estimateMs = 0, freeCores = 0),
            RoomCase(
                "service",
                listOf(8 to 1_000L),
                16,
                gangStartsInMs = 1_000,
                estimateMs = 100,
                isService = true,
                freeCores = 0,
            ),
        )

        @JvmStatic
        fun places(): List<Any> = listOf(
            PlacesCase("idle", emptyList(), cores = 5, inMs = listOf(0, 0, 0)),
            PlacesCase("limit", emptyList(), cores = 5, maxPerWorker = 1, inMs = listOf(0)),
            PlacesCase("two runs", listOf(8 to 3_000L, 4 to 700L), cores = 4, inMs = listOf(0, 700, 3_000, 3_000)),
            PlacesCase("service", listOf(8 to ENDLESS, 8 to 700L), cores = 4, inMs = listOf(700, 700)),
            PlacesCase("never", listOf(1 to ENDLESS), cores = 16, inMs = emptyList()),
        )
    }
}
