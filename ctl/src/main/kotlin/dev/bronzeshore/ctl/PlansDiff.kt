/** `plans diff`: shows what `plans apply` would change. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.plans.ConfigurationDiffer
import org.kohsuke.args4j.Argument

internal class PlansDiff : ServerCommand() {
    @field:Argument(metaVar = "DIR", usage = ConfigurationFiles.DIRECTORY_USAGE)
    private var directory: String = "."

    override val synopsis: String = "plans diff [DIR]"
    override val summary: String = "Shows what \"plans apply\" would change. Changes nothing."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val files = ConfigurationFiles.readDirectory(directory).bind()
        val current = client(context).bind().configuration().bind()
        val changes = ConfigurationDiffer.describe(current, files.applyTo(current))
        show(context, PlansDifference.serializer(), PlansDifference(current.version, changes)) { difference ->
            val title = "version ${difference.version} is in force; ${changes.size} changes"
            listOf(title) + difference.changes.map { "  $it" }
        }
    }
}
