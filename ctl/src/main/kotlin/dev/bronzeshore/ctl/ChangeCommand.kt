/** Base class of all commands that change something. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.Option

/** A command that supports `--dry-run`. */
internal abstract class ChangeCommand : ServerCommand() {
    @field:Option(name = "--dry-run", usage = "shows what would change and changes nothing")
    var dryRun: Boolean = false
}
