/** `job list`: lists jobs of one or all plans. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.JobView
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.Option

internal class JobList : ServerCommand() {
    @field:Option(name = "--plan", metaVar = "PLAN", usage = "shows only jobs of this plan")
    private var plan: String? = null

    @field:Option(name = "--limit", metaVar = "N", usage = "shows at most N jobs")
    private var limit: Int = DEFAULT_LIMIT

    override val synopsis: String = "job list"
    override val summary: String = "Lists jobs."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        checkLimit().bind()
        val jobs = client(context).bind().jobs(plan, limit).bind()
        show(context, ListSerializer(JobView.serializer()), jobs, TextRenderer::jobs)
    }

    private fun checkLimit(): Either<CtlFailure, Unit> = if (limit < 1) {
        CtlFailure.usage("The limit is $limit.", "a whole number above 0", "--limit").left()
    } else {
        Unit.right()
    }

    private companion object {
        const val DEFAULT_LIMIT = 100
    }
}
