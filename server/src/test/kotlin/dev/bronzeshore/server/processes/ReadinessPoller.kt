/** Stand-in for the platform's load balancer. */
package dev.bronzeshore.server.processes

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Polls the readiness of every process four times a second; [current] returns those that were ready. */
internal class ReadinessPoller(private val cluster: ProcessCluster) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor()

    @Volatile
    private var ready: List<EntryProcess> = cluster.entries.toList()

    init {
        timer.scheduleWithFixedDelay(
            { ready = cluster.entries.toList().filter { it.isReady() } },
            0,
            POLL_PERIOD_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    fun current(): List<EntryProcess> = ready

    override fun close() {
        timer.shutdownNow()
    }

    private companion object {
        const val POLL_PERIOD_MS = 250L
    }
}
