/** Command `worker`: one worker or several identical ones. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources
import org.kohsuke.args4j.Option

internal class WorkerCommand : VmCommand() {
    @field:Option(name = "--processors-millicores", required = true, metaVar = "N", usage = "processors of the worker")
    private var processorsMillicores: Long = 0

    @field:Option(name = "--memory-bytes", required = true, metaVar = "N", usage = "memory of the worker")
    private var memoryBytes: Long = 0

    @field:Option(name = "--accelerators", metaVar = "N", usage = "accelerators of the worker")
    private var accelerators: Long = 0

    @field:Option(name = "--usage-lag-ms", metaVar = "MS", usage = "age of the use that reports show")
    private var usageLagMs: Long = 0

    @field:Option(name = "--stop-ms", metaVar = "MS", usage = "time that a task takes to stop or to checkpoint")
    private var stopMs: Long = 0

    override fun plan(): PlatformPlan {
        val capacity = Resources(processorsMillicores, memoryBytes, accelerators)
        val worker = WorkerPlan(
            id,
            dataCentre,
            rack,
            capacity,
            port,
            count,
            usageLagMs = usageLagMs,
            stopMs = stopMs,
        )
        return PlatformPlan(workers = listOf(worker))
    }
}
