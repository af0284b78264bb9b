/** Servers of a small platform, as its JSON file describes them. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskStart
import kotlinx.serialization.Serializable

private val usagePattern = Regex("""\buse=(\d+)%""")
private const val PERCENT = 100

/** A server that is configured by its port only; with port 0, the operating system chooses the port. */
@Serializable
public data class ServerPlan(public val port: Int = 0)

/** A worker, or [count] identical workers with the ids `ID-1`, `ID-2` and so on, spread over racks. */
@Serializable
public data class WorkerPlan(
    public val id: String,
    public val dataCentre: String,
    public val rack: String,
    public val capacity: Resources,
    /** Port of the first worker; the others use the ports that follow. */
    public val port: Int = 0,
    public val count: Int = 1,
    /** Workers per rack; the racks are named `RACK-1`, `RACK-2` and so on if [count] is above 1. */
    public val perRack: Int = 8,
    /** Age of the usage in reports: a task is reported without usage until this time has passed since its start. */
    public val usageLagMs: Long = 0,
    /** Time that a task needs to stop or to checkpoint. */
    public val stopMs: Long = 0,
    /** Percentage of the processors and the memory of its size that a task uses. */
    public val usePercent: Int = PERCENT,
) {
    /** Resources that a task uses. A percentage in its payload, such as `use=150%`, overrides [usePercent]. */
    internal fun usageOf(start: TaskStart): Resources {
        val percent = usagePattern.find(start.payload)?.groupValues?.get(1)?.toInt() ?: usePercent
        return start.size.copy(
            processorsMillicores = start.size.processorsMillicores * percent / PERCENT,
            memoryBytes = start.size.memoryBytes * percent / PERCENT,
        )
    }

    internal fun expand(): List<WorkerPlan> = if (count == 1) {
        listOf(this)
    } else {
        List(count) {
            copy(
                id = "$id-${it + 1}",
                rack = "$rack-${it / perRack + 1}",
                port = if (port == 0) 0 else port + it,
                count = 1,
            )
        }
    }
}

/** An endpoint, or [count] identical endpoints with the ids `ID-1`, `ID-2` and so on. */
@Serializable
public data class EndpointPlan(
    public val id: String,
    public val service: String,
    public val dataCentre: String,
    public val rack: String,
    public val slots: Int,
    /** Port of the first endpoint; the others use the ports that follow. */
    public val port: Int = 0,
    public val count: Int = 1,
    /** Delay before a request is read and the response is sent. */
    public val serviceMs: Long = 0,
) {
    internal fun expand(): List<EndpointPlan> = if (count == 1) {
        listOf(this)
    } else {
        List(count) {
            copy(id = "$id-${it + 1}", port = if (port == 0) 0 else port + it, count = 1)
        }
    }
}

/** The servers that one process hosts; a server that is null is not hosted. */
@Serializable
public data class PlatformPlan(
    public val table: ServerPlan? = null,
    public val objectStore: ServerPlan? = null,
    public val vmList: ServerPlan? = null,
    public val workers: List<WorkerPlan> = emptyList(),
    public val endpoints: List<EndpointPlan> = emptyList(),
)
