/** `job status`: shows one job with its parts. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.JobView
import org.kohsuke.args4j.Argument

internal class JobStatus : ServerCommand() {
    @field:Argument(metaVar = "JOB", required = true, usage = JobGroup.JOB_ID_USAGE)
    private var job: String = ""

    override val synopsis: String = "job status JOB"
    override val summary: String = "Shows a job, what it waits for and where its parts run."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        show(context, JobView.serializer(), client(context).bind().job(job).bind(), TextRenderer::job)
    }
}
