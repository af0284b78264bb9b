/** Options shared by the commands that host one server. */
package dev.bronzeshore.standins

import org.kohsuke.args4j.Option

internal abstract class PortCommand : StandInCommand() {
    @field:Option(name = "--port", metaVar = "PORT", usage = "port to listen on; 0 lets the system choose")
    protected var port: Int = 0
}

/** Command `table`: the table service. */
internal class TableCommand : PortCommand() {
    override fun plan(): PlatformPlan = PlatformPlan(table = ServerPlan(port))
}

/** Command `object-store`: the object store. */
internal class ObjectStoreCommand : PortCommand() {
    override fun plan(): PlatformPlan = PlatformPlan(objectStore = ServerPlan(port))
}

/** Command `vm-list`: the VM list, empty until other processes or control calls add VMs. */
internal class VmListCommand : PortCommand() {
    override fun plan(): PlatformPlan = PlatformPlan(vmList = ServerPlan(port))
}
