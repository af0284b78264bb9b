/** A sub-command of the command line. */
package dev.bronzeshore.standins

import org.kohsuke.args4j.Option
import java.nio.file.Path

internal abstract class StandInCommand {
    @field:Option(name = "--addresses", metaVar = "FILE", usage = "file that receives the real addresses as JSON")
    var addresses: Path? = null

    @field:Option(
        name = "--vm-list",
        metaVar = "HOST:PORT",
        usage = "VM list of another process that is told of this process's workers and endpoints",
    )
    var vmList: String? = null

    /** Returns the servers that the process hosts. */
    abstract fun plan(): PlatformPlan
}
