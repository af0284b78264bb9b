/** A command with subcommands, such as `plans` in `plans apply`. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import dev.bronzeshore.core.ResultCode
import org.kohsuke.args4j.spi.SubCommands

/** A group of commands; the [SubCommands] annotation of its field `action` lists them. */
internal abstract class CommandGroup : Command() {
    abstract val selected: Command?

    /** New instances of the commands of this group by name. */
    val commands: Map<String, Command>
        get() =
            javaClass
                .getDeclaredField("action")
                .getAnnotation(SubCommands::class.java)
                .value
                .associate { it.name to it.impl.java.getDeclaredConstructor().newInstance() as Command }

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> =
        selected?.run(context) ?: missingCommand().left()

    private fun missingCommand(): CtlFailure = CtlFailure.usage(
        "A command is missing.",
        "one of: " + commands.keys.joinToString(),
        code = ResultCode.MISSING_FIELD,
    )
}
