/** Options shared by the commands `worker` and `endpoint`. */
package dev.bronzeshore.standins

import org.kohsuke.args4j.Option

internal abstract class VmCommand : PortCommand() {
    @field:Option(name = "--id", required = true, metaVar = "ID", usage = "id of the VM")
    protected lateinit var id: String

    @field:Option(name = "--data-centre", required = true, metaVar = "NAME", usage = "data centre of the VM")
    protected lateinit var dataCentre: String

    @field:Option(name = "--rack", required = true, metaVar = "NAME", usage = "rack of the VM")
    protected lateinit var rack: String

    @field:Option(name = "--count", metaVar = "N", usage = "number of alike servers in this process")
    protected var count: Int = 1
}
