/** Base class of all commands. */
package dev.bronzeshore.ctl

import arrow.core.Either
import org.kohsuke.args4j.Option

/** A command; args4j sets the annotated fields. */
internal abstract class Command {
    @field:Option(name = "--help", aliases = ["-h"], help = true, usage = "shows this help and exits")
    var help: Boolean = false

    /** The command words and arguments, as typed after the program name. */
    abstract val synopsis: String

    /** What the command does, in one or two sentences. */
    abstract val summary: String

    abstract suspend fun run(context: CtlContext): Either<CtlFailure, Unit>
}
