/** `./bench capacity`: measures the control overhead of real processes for several numbers of workers. */
package dev.bronzeshore.bench.capacity

import dev.bronzeshore.bench.Figure

/** 0 workers is the baseline; the other counts are divisible by the number of data centres, three. */
private val defaultWorkerCounts = listOf(0, 90, 210, 390, 801)
private const val PARTS_PER_WORKER = 5.75
private const val PARTS_PER_JOB = 23
private const val MEASUREMENT_MS = 15_000L
private const val WARM_UP_MS = 10_000L
private const val LONG_RUN_MS = 3_600_000L
private const val SHORT_RUN_MS = 500L
private const val BURST_PARTS = 2_300
private const val PERCENT = 100.0
private const val MIB = 1_048_576.0

/** Prints one line of JSON per figure; [args] are numbers of workers, by default [defaultWorkerCounts]. */
public fun main(args: Array<String>) {
    val workerCounts = if (args.isEmpty()) defaultWorkerCounts else args.map { it.toInt() }
    workerCounts.forEach { size -> measure(size).forEach { println(it.toLine()) } }
}

private fun measure(workers: Int): List<Figure> = TestCluster(workers).use { cluster ->
    cluster.start()
    val parts = (workers * PARTS_PER_WORKER).toInt()
    cluster.submitParts("long", parts, PARTS_PER_JOB, LONG_RUN_MS)
    val expected = parts / PARTS_PER_JOB * PARTS_PER_JOB.toLong()
    awaitUntil("$expected parts run") { cluster.startedParts() >= expected }
    Thread.sleep(WARM_UP_MS)
    val steady = steadyFigures(cluster, workers)
    steady + if (workers == 0) emptyList() else burstFigures(cluster, workers, expected)
}

private fun steadyFigures(cluster: TestCluster, workers: Int): List<Figure> {
    val writesBefore = cluster.tableWrites()
    val before = cluster.pids.map(ProcessUsageReader::read)
    Thread.sleep(MEASUREMENT_MS)
    val after = cluster.pids.map(ProcessUsageReader::read)
    val writes = cluster.tableWrites() - writesBefore
    val rates = before.zip(after).map { (from, to) -> ProcessUsageReader.rate(from, to) }
    return listOf(
        figure("owner processor", rates.maxOf { it.cpuPercent }, "% of a core", workers),
        figure("owner resident memory", after.maxOf { it.residentBytes } / MIB, "MiB", workers),
        figure("owner traffic", rates.maxOf { it.bytesPerSecond }, "bytes/s", workers),
        figure("table writes", writes * 1_000.0 / MEASUREMENT_MS, "1/s", workers),
    )
}

private fun burstFigures(cluster: TestCluster, workers: Int, startedBefore: Long): List<Figure> {
    val writesBefore = cluster.tableWrites()
    val before = cluster.pids.map(ProcessUsageReader::read)
    cluster.submitParts("burst", BURST_PARTS, PARTS_PER_JOB, SHORT_RUN_MS)
    awaitUntil("the burst has started") { cluster.startedParts() >= startedBefore + BURST_PARTS }
    val after = cluster.pids.map(ProcessUsageReader::read)
    val elapsedMs = after.first().atMs - before.first().atMs
    val cpuMs = before.zip(after).sumOf { (from, to) -> to.cpuMs - from.cpuMs }
    return listOf(
        figure("starts", BURST_PARTS * 1_000.0 / elapsedMs, "1/s", workers),
        figure("processor time for each start", cpuMs.toDouble() / BURST_PARTS, "ms", workers),
        figure(
            "table writes in the burst",
            (cluster.tableWrites() - writesBefore) * 1_000.0 / elapsedMs,
            "1/s",
            workers,
        ),
    )
}

private fun figure(name: String, value: Double, unit: String, workers: Int): Figure {
    val rounded = Math.round(value * PERCENT) / PERCENT
    return Figure(name, rounded, unit, seed = 0, size = "$workers workers, 3 owners")
}
