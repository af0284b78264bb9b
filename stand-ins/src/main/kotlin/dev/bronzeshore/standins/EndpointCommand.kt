/** Command `endpoint`: one endpoint or several identical ones. */
package dev.bronzeshore.standins

import org.kohsuke.args4j.Option

internal class EndpointCommand : VmCommand() {
    @field:Option(name = "--service", required = true, metaVar = "NAME", usage = "service that the endpoint offers")
    private lateinit var service: String

    @field:Option(name = "--slots", required = true, metaVar = "N", usage = "requests that run at the same time")
    private var slots: Int = 0

    @field:Option(name = "--service-ms", metaVar = "MS", usage = "time before a request is read and answered")
    private var serviceMs: Long = 0

    override fun plan(): PlatformPlan {
        val endpoint = EndpointPlan(id, service, dataCentre, rack, slots, port, count, serviceMs)
        return PlatformPlan(endpoints = listOf(endpoint))
    }
}
