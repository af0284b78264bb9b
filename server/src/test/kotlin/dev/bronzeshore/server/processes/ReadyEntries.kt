/** The platform's balancer as callers see it. */
package dev.bronzeshore.server.processes

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Asks every process for its readiness several times a second; [current] holds those that were ready. */
internal class ReadyEntries(private val cluster: ProcessCluster) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor()

    @Volatile
    private var ready: List<EntryProcess> = cluster.entries.toList()

    init {
        timer.scheduleWithFixedDelay(
            { ready = cluster.entries.toList().filter { it.isReady() } },
            0,
            CHECK_EVERY_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    fun current(): List<EntryProcess> = ready

    override fun close() {
        timer.shutdownNow()
    }

    private companion object {
        const val CHECK_EVERY_MS = 250L
    }
}
