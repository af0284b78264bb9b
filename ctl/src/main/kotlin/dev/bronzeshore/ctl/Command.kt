/** The common part of all commands. */
package dev.bronzeshore.ctl

import arrow.core.Either
import org.kohsuke.args4j.Option

/** One command; args4j fills the annotated fields. */
internal abstract class Command {
    @field:Option(name = "--help", aliases = ["-h"], help = true, usage = "shows this help and exits")
    var help: Boolean = false

    /** Words and arguments as typed after the program name. */
    abstract val synopsis: String

    /** What the command does, in one or two sentences. */
    abstract val summary: String

    abstract suspend fun run(context: CtlContext): Either<CtlFailure, Unit>
}
