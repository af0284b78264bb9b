/** `job cancel`: cancels a job. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.JobView
import org.kohsuke.args4j.Argument

internal class JobCancel : ChangeCommand() {
    @field:Argument(metaVar = "JOB", required = true, usage = JobGroup.JOB_ID_USAGE)
    private var job: String = ""

    override val synopsis: String = "job cancel JOB"
    override val summary: String =
        "Cancels a job: parts that wait are removed, and parts that run are stopped. With --dry-run the job is only " +
            "shown."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val client = client(context).bind()
        val view = if (dryRun) client.job(job).bind() else client.cancel(job).bind()
        show(context, JobView.serializer(), view, TextRenderer::job)
    }
}
