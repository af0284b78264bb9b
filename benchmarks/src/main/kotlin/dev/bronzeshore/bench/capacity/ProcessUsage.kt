/** Processor time, resident memory and I/O bytes of one operating-system process, as Linux counts them. */
package dev.bronzeshore.bench.capacity

import java.nio.file.Files
import java.nio.file.Path

/** A reading of the counters under /proc at one time. */
internal data class ProcessUsage(val atMs: Long, val cpuMs: Long, val residentBytes: Long, val transferredBytes: Long)

/** Differences between two readings, as rates. */
internal data class UsageRate(val cpuPercent: Double, val bytesPerSecond: Double)

internal object ProcessUsageReader {
    /** Linux reports processor time in ticks of 10 ms and memory in pages of 4 KiB on this architecture. */
    private const val MS_PER_TICK = 10L
    private const val PAGE_BYTES = 4_096L
    private const val PERCENT = 100.0
    private const val MS_PER_SECOND = 1_000.0
    private const val UTIME_FIELD = 11
    private const val STIME_FIELD = 12

    fun read(pid: Long): ProcessUsage {
        val stat = Files.readString(Path.of("/proc/$pid/stat")).substringAfterLast(") ").split(' ')
        val ticks = stat[UTIME_FIELD].toLong() + stat[STIME_FIELD].toLong()
        val residentPages = Files.readString(Path.of("/proc/$pid/statm")).split(' ')[1].toLong()
        val io = Files.readAllLines(Path.of("/proc/$pid/io")).associate {
            it.substringBefore(": ") to it.substringAfter(": ").toLong()
        }
        return ProcessUsage(
            atMs = System.currentTimeMillis(),
            cpuMs = ticks * MS_PER_TICK,
            residentBytes = residentPages * PAGE_BYTES,
            // These counters include socket reads and writes; the processes access no files during the measurement.
            transferredBytes = io.getValue("rchar") + io.getValue("wchar"),
        )
    }

    fun rate(from: ProcessUsage, to: ProcessUsage): UsageRate {
        val elapsedMs = (to.atMs - from.atMs).toDouble()
        return UsageRate(
            cpuPercent = PERCENT * (to.cpuMs - from.cpuMs) / elapsedMs,
            bytesPerSecond = MS_PER_SECOND * (to.transferredBytes - from.transferredBytes) / elapsedMs,
        )
    }
}
