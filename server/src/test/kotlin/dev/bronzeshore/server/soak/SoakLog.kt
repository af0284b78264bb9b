/** The events of a soak: faults, runs and violations, with the time since its start. */
package dev.bronzeshore.server.soak

import java.util.concurrent.ConcurrentLinkedQueue

private const val NANOS_PER_MS = 1_000_000L

internal class SoakLog {
    private val startedAtNanos = System.nanoTime()
    private val startedAtWallMs = System.currentTimeMillis()
    private val entries = ConcurrentLinkedQueue<String>()

    /** Monotonic time since the start of the soak. */
    val nowMs: Long get() = (System.nanoTime() - startedAtNanos) / NANOS_PER_MS

    val lines: List<String> get() = entries.toList()

    fun add(text: String) {
        entries += "%8.3f %s".format(nowMs / 1000.0, text)
    }

    fun toWallMs(atMs: Long): Long = startedAtWallMs + atMs

    fun fromWallMs(wallMs: Long): Long = wallMs - startedAtWallMs
}
