/** `plans history`: lists the versions of plans and allowances. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.AuditEntry
import kotlinx.serialization.builtins.ListSerializer

internal class PlansHistory : AuditCommand() {
    override val synopsis: String = "plans history"
    override val summary: String = "Shows the versions that \"plans apply\" made, the newest last."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val entries = readEntries(context) { it.action == APPLY_ACTION }.bind()
        show(context, ListSerializer(AuditEntry.serializer()), entries, TextRenderer::auditEntries)
    }

    private companion object {
        const val APPLY_ACTION = "plans apply"
    }
}
