/** Platform, plans and allowances that all process tests use. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.standins.EndpointPlan
import dev.bronzeshore.standins.PlatformPlan
import dev.bronzeshore.standins.ServerPlan
import dev.bronzeshore.standins.WorkerPlan
import java.security.MessageDigest
import java.util.HexFormat

internal const val OPERATOR_TOKEN = "example-operator-token"
internal const val CALLER_TOKEN = "example-utility-token"
internal const val GIB = 1_073_741_824L
internal val dataCentreNames = listOf("ridge", "valley", "meadow")

private val workerSize = Resources(32_000, 128 * GIB)
private val planLimit = Resources(64_000, 256 * GIB)

internal fun sha256Hex(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

internal val platformPlan = PlatformPlan(
    table = ServerPlan(),
    vmList = ServerPlan(),
    workers = dataCentreNames.map { WorkerPlan("worker-$it", it, "$it-rack", workerSize, count = 2, stopMs = 200) },
    endpoints = dataCentreNames.map {
        EndpointPlan("booking-$it", "booking", it, "$it-rack", slots = 24, count = 2, serviceMs = 10)
    },
)

internal val clusterPlans = listOf(
    Plan(
        "utility",
        sha256Hex(CALLER_TOKEN),
        listOf(
            WorkKind("seasonPlan", Policy.BATCH),
            WorkKind("slotReservation", Policy.INTERACTIVE, weight = 4, service = "booking"),
        ),
    ),
)

internal fun clusterAllowances(weight: Int = 1): List<Allowance> =
    dataCentreNames.map { Allowance("utility", it, planLimit, slots = 48, weight = weight) }
