/**
 * Training run for the class data sharing archive: starts a process on loopback without a platform, then exits.
 *
 * The build runs it with the JVM option that archives the loaded classes. A start from the archive takes about half
 * of the processor time, which determines how soon a restarted process serves on a machine with half a core.
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.ListenAddress
import dev.bronzeshore.core.MonotonicClock
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterBounds
import dev.bronzeshore.core.cluster.ClusterSettings
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.StepProgress
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.encodeRow
import dev.bronzeshore.platform.cluster.PlatformClient
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/** Run time, in which the process loads its classes; all its calls fail, because there is no platform. */
private const val RUN_MS = 2_500L
private const val PORTS = 4
private const val LOOPBACK = "127.0.0.1"

internal fun recordClasses(): Nothing {
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val control = Executors.newSingleThreadExecutor { Thread(it, "control") }.asCoroutineDispatcher()
    val scope = CoroutineScope(SupervisorJob() + control)
    val settings = loopbackSettings()
    runBlocking {
        ClusterProcess(settings, control, Dispatchers.IO, scope, MonotonicClock).start()
        exerciseCodecs()
        exerciseCalls(settings)
        delay(RUN_MS)
    }
    exitProcess(0)
}

private fun loopbackSettings(): ClusterSettings {
    val ports = List(PORTS) { ServerSocket(0) }.map { socket -> socket.use { it.localPort } }
    val addresses = ports.map { ListenAddress(LOOPBACK, it) }
    return ClusterSettings(
        processName = "record-classes",
        dataCentre = "none",
        callers = addresses[0],
        readiness = addresses[1],
        peers = addresses[2],
        metrics = addresses.last(),
        // The process's own port stands in for the platform's store and advice service.
        storeAddress = "$LOOPBACK:${ports[0]}",
        adviceAddress = "$LOOPBACK:${ports[0]}",
        processorShare = 1.0,
        linkMbps = 1_000.0,
        bounds = ClusterBounds(
            maxLeaseMs = 6_000,
            stopGraceMs = 900,
            gangWaitMs = 3_000,
            stopSignalGraceMs = 6_000,
            statusRetentionMs = 120_000,
            earlyStartMs = 250,
            remoteFactor = 1.5,
        ),
    )
}

private suspend fun exerciseCalls(settings: ClusterSettings) {
    val link = PlatformClient(
        SelectorManager(Dispatchers.IO),
        Dispatchers.IO,
        "$LOOPBACK:${settings.metrics.port}",
        settings.storeAddress,
    )
    link.store.changes("none", 0, 0)
    link.store.transact(StoreTransaction(writes = listOf(RowWrite(RowId("none", "", "none"), ByteArray(1)))))
}

private fun exerciseCodecs() {
    val size = Resources(1, 1)
    val terms = QueueTerms("none", "none", 0, 1, 1.0, 0)
    val job = AcceptedJob("none", JobDescription("none", listOf(StepDescription(1, size, 1))), terms, 0)
    decodeRow(AcceptedJob.serializer(), encodeRow(AcceptedJob.serializer(), job))
    val progress = JobProgress(JobPhase.RUNNING, listOf(StepProgress(0, 0, listOf(1), mapOf(0 to setOf(1L)))))
    decodeRow(JobProgress.serializer(), encodeRow(JobProgress.serializer(), progress))
    val node = NodeRow("none", "none", "none")
    decodeRow(NodeRow.serializer(), encodeRow(NodeRow.serializer(), node))
    PlatformClient.parseConfig("""{"version":1,"routes":[],"limits":{}}""".toByteArray())
    PlatformClient.parseWorkerChange(StoredRow(RowId("none", "", "none"), """{"state":"ready"}""".toByteArray(), 1))
}
