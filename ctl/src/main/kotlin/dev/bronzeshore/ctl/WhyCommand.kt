/** `why`: explains the state of a job. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.JobExplanation
import org.kohsuke.args4j.Argument

internal class WhyCommand : ServerCommand() {
    @field:Argument(metaVar = "JOB", required = true, usage = JobGroup.JOB_ID_USAGE)
    private var job: String = ""

    override val synopsis: String = "why JOB"
    override val summary: String = "Says in one sentence why a job is in its present state."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        show(context, JobExplanation.serializer(), client(context).bind().why(job).bind()) { listOf(it.reason) }
    }
}
