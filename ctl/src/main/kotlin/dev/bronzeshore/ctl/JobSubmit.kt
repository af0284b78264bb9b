/** `job submit`: submits a job from a file. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.JobView
import dev.bronzeshore.plans.DocumentReader
import dev.bronzeshore.plans.FieldRule
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.nio.file.Path

internal class JobSubmit : ChangeCommand() {
    @field:Argument(metaVar = "FILE", usage = "the job as JSON with comments; default: the standard input")
    private var file: String? = null

    @field:Option(name = "--plan", metaVar = "PLAN", required = true, usage = "plan that the job belongs to")
    private var plan: String = ""

    @field:Option(name = "--key", metaVar = "KEY", usage = "idempotency key; default: a new one, which is printed")
    private var key: String? = null

    override val synopsis: String = "job submit [FILE]"
    override val summary: String =
        "Submits a job. Repeating the command with the same --plan and --key yields the same job, so it can be " +
            "repeated when the outcome is unknown. With --dry-run the file is only checked."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val text = file?.let { readText(Path.of(it)).bind() } ?: context.readInput()
        val submission = SUBMISSION_READER.read(file ?: "(input)", text).mapLeft(CtlFailure::refused).bind()
        if (dryRun) {
            show(context, JobSubmission.serializer(), submission) { listOf("dry run: the job is well formed") }
        } else {
            val idempotencyKey = key ?: context.newIdempotencyKey()
            // Printed before the call, because a retry needs it if no response arrives.
            context.printError("idempotency key: $idempotencyKey")
            val view = client(context).bind().submit(plan, idempotencyKey, submission).bind()
            show(context, JobView.serializer(), view, TextRenderer::job)
        }
    }

    private companion object {
        val SUBMISSION_READER =
            DocumentReader(
                JobSubmission.serializer(),
                listOf(
                    FieldRule.name("kind"),
                    FieldRule.name("dataCentre"),
                    FieldRule.number("size.processorsMillicores", 0, Long.MAX_VALUE),
                    FieldRule.number("size.memoryBytes", 0, Long.MAX_VALUE),
                    FieldRule.number("size.accelerators", 0, Long.MAX_VALUE),
                    FieldRule.number("parts", 1, Int.MAX_VALUE.toLong()),
                    FieldRule.number("startBeforeMs", 0, Long.MAX_VALUE),
                    FieldRule.number("declaredRunMs", 0, Long.MAX_VALUE),
                ),
            )
    }
}
