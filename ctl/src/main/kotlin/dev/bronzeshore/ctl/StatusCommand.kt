/** `status`: shows the state of one process. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.ProcessStatus

internal class StatusCommand : ServerCommand() {
    override val synopsis: String = "status"
    override val summary: String =
        "Shows the process that answers: what it owns, which configuration it has and which processes it knows."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val status = client(context).bind().status().bind()
        show(context, ProcessStatus.serializer(), status) { TextRenderer.status(it, context.clock()) }
    }
}
