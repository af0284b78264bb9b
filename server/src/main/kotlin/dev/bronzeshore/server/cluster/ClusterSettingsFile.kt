/** Settings file of a cluster process: JSON with comments, rendered from the template deploy/settings.json. */
package dev.bronzeshore.server.cluster

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.ListenAddress
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.cluster.ClusterBounds
import dev.bronzeshore.core.cluster.ClusterSettings
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Time limits and factors that the platform guarantees or requires. */
@Serializable
internal data class BoundsSection(
    val maxLeaseMs: Long,
    val stopGraceMs: Long,
    val gangWaitMs: Long,
    val stopSignalGraceSeconds: Double,
    val statusRetentionSeconds: Double,
    val earlyStartMs: Long,
    val remoteFactor: Double,
    val keyWithdrawalMs: Long? = null,
    val workerHeartbeatMs: Long? = null,
)

@Serializable
internal data class ClusterSettingsFile(
    val processName: String,
    val dataCentre: String,
    val callersAddress: String,
    val readinessAddress: String,
    val peersAddress: String,
    val metricsAddress: String,
    val storeAddress: String,
    val adviceAddress: String? = null,
    val processorShare: Double = 1.0,
    val processors: Int = 1,
    val memoryMb: Int = 0,
    val linkMbps: Double = 1_000.0,
    val bounds: BoundsSection,
)

private val SettingsJson = Json(WireJson) {
    allowComments = true
    allowTrailingComma = true
}

private const val MS_PER_SECOND = 1_000

/** Parses and validates the settings; a left result lists all errors. */
internal fun readClusterSettings(text: String): Either<List<String>, ClusterSettings> {
    val file = Either.catch { SettingsJson.decodeFromString(ClusterSettingsFile.serializer(), text) }
        .fold({ return listOf(it.message ?: "malformed settings").left() }, { it })
    val errors = findErrors(file)
    return if (errors.isEmpty()) file.toSettings().right() else errors.left()
}

private fun findErrors(file: ClusterSettingsFile): List<String> = buildList {
    val addresses = mapOf(
        "callersAddress" to file.callersAddress,
        "readinessAddress" to file.readinessAddress,
        "peersAddress" to file.peersAddress,
        "metricsAddress" to file.metricsAddress,
        "storeAddress" to file.storeAddress,
    )
    for ((name, value) in addresses) if (parseAddress(value) == null) add("$name: '$value' is not HOST:PORT")
    if (file.processName.isBlank()) add("processName: must not be empty")
    if ((file.bounds.keyWithdrawalMs ?: 1) <= 0) add("bounds.keyWithdrawalMs: must be greater than 0")
    if ((file.bounds.workerHeartbeatMs ?: 1) <= 0) add("bounds.workerHeartbeatMs: must be greater than 0")
    if (file.bounds.maxLeaseMs <= 0) add("bounds.maxLeaseMs: must be greater than 0")
}

private fun ClusterSettingsFile.toSettings() = ClusterSettings(
    processName = processName,
    dataCentre = dataCentre,
    callers = requireNotNull(parseAddress(callersAddress)),
    readiness = requireNotNull(parseAddress(readinessAddress)),
    peers = requireNotNull(parseAddress(peersAddress)),
    metrics = requireNotNull(parseAddress(metricsAddress)),
    storeAddress = storeAddress,
    adviceAddress = adviceAddress,
    processorShare = processorShare * processors,
    linkMbps = linkMbps,
    bounds = ClusterBounds(
        maxLeaseMs = bounds.maxLeaseMs,
        stopGraceMs = bounds.stopGraceMs,
        gangWaitMs = bounds.gangWaitMs,
        stopSignalGraceMs = (bounds.stopSignalGraceSeconds * MS_PER_SECOND).toLong(),
        statusRetentionMs = (bounds.statusRetentionSeconds * MS_PER_SECOND).toLong(),
        earlyStartMs = bounds.earlyStartMs,
        remoteFactor = bounds.remoteFactor,
        keyWithdrawalMs = bounds.keyWithdrawalMs,
        workerHeartbeatMs = bounds.workerHeartbeatMs,
    ),
)

private fun parseAddress(text: String): ListenAddress? {
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    val host = text.substringBeforeLast(':')
    return if (host.isEmpty()) null else ListenAddress(host, port)
}
