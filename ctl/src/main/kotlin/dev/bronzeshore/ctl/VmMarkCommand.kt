/** Base class of the commands that mark VMs. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.plans.ConfigurationDiffer
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.Argument

/** Sets one mark on one or more VMs, one after the other; stops at the first failure. */
internal abstract class VmMarkCommand(private val mark: VmMark) : AuditedCommand() {
    @field:Argument(metaVar = "ID", required = true, multiValued = true, usage = "id of a VM")
    private var ids: MutableList<String> = mutableListOf()

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val client = client(context).bind()
        val answers = ArrayList<ApplyAnswer>()
        try {
            for (id in ids) {
                val answer = if (dryRun) previewMark(client, id).bind() else setMark(client, id, context).bind()
                answers += answer
                if (!json) {
                    answer.changes.forEach(context.printOut)
                    context.printOut("$id: " + TextRenderer.applied(answer, dryRun))
                }
            }
        } finally {
            // Also prints the marks that were set before a failure.
            if (json) {
                show(context, ListSerializer(ApplyAnswer.serializer()), answers) { emptyList() }
            }
        }
    }

    private suspend fun setMark(
        client: OperatorClient,
        id: String,
        context: CtlContext,
    ): Either<CtlFailure, ApplyAnswer> = client.mark(id, MarkRequest(mark, operatorName(context)))

    private suspend fun previewMark(client: OperatorClient, id: String): Either<CtlFailure, ApplyAnswer> =
        client.configuration().map { current ->
            val after = current.copy(marks = current.marks.filter { it.vmId != id } + MarkedVm(id, mark))
            ApplyAnswer(current.version, ConfigurationDiffer.describe(current, after), applied = false)
        }
}
