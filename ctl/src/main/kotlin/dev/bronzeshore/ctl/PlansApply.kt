/** `plans apply`: puts the operators' files in force. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.plans.ConfigurationDiffer
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

internal class PlansApply : AuditedCommand() {
    @field:Argument(metaVar = "DIR", usage = ConfigurationFiles.DIRECTORY_USAGE)
    private var directory: String = "."

    @field:Option(name = "--expected-version", metaVar = "N", usage = "refuses if another version is in force")
    private var expectedVersion: Long? = null

    override val synopsis: String = "plans apply [DIR]"
    override val summary: String =
        "Checks both files, shows the difference to what is in force, and puts the files in force. Safe to repeat: " +
            "content that is in force already is a success. Without --expected-version, the version whose difference " +
            "was shown is expected."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val files = ConfigurationFiles.readDirectory(directory).bind()
        val client = client(context).bind()
        val current = client.configuration().bind()
        val changes = ConfigurationDiffer.describe(current, files.applyTo(current))
        if (!json) {
            context.printOut("version ${current.version} is in force; ${changes.size} changes:")
            changes.forEach { context.printOut("  $it") }
        }
        val request =
            ApplyRequest(
                expectedVersion ?: current.version,
                files.plans,
                files.allowances,
                operatorName(context),
                dryRun,
            )
        val answer = client.apply(request).bind()
        show(context, ApplyAnswer.serializer(), answer) { listOf(TextRenderer.applied(it, dryRun)) }
    }
}
