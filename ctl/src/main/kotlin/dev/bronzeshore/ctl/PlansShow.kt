/** `plans show`: shows the configuration in force. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.Configuration

internal class PlansShow : ServerCommand() {
    override val synopsis: String = "plans show"
    override val summary: String = "Shows the configuration in force: plans, allowances and marks on VMs."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val configuration = client(context).bind().configuration().bind()
        show(context, Configuration.serializer(), configuration, TextRenderer::configuration)
    }
}
