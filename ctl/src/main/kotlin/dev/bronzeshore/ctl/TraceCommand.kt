/** `trace`: shows what log files say about a job, offline. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import org.kohsuke.args4j.Argument
import java.nio.file.Path

internal class TraceCommand : Command() {
    @field:Argument(index = 0, metaVar = "JOB", required = true, usage = JobGroup.JOB_ID_USAGE)
    private var job: String = ""

    @field:Argument(
        index = 1,
        metaVar = "FILE",
        multiValued = true,
        usage = "log of one or more processes; the standard input if none is given",
    )
    private var files: MutableList<String> = mutableListOf()

    override val synopsis: String = "trace JOB [FILE...]"
    override val summary: String =
        "Shows what the logs of all processes say of a job on the users' platform, and why it was refused, late or " +
            "failed."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val texts = if (files.isEmpty()) {
            listOf("input" to context.readInput())
        } else {
            files.map { it to readText(Path.of(it)).bind() }
        }
        val lines = texts.flatMap { (file, text) -> text.lineSequence().mapNotNull { LogLine.parse(it, file) } }
        val trace = JobTrace(lines.sortedBy { it.atMs }, job)
        val first = trace.jobLines.firstOrNull() ?: raise(
            CtlFailure.refused(listOf(Fault(ResultCode.UNKNOWN_JOB, "No line of these logs names job $job."))),
        )
        val rows = trace.jobLines.map { line ->
            val fields = line.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
            listOf("${line.atMs - first.atMs}", line.source, line.event, fields)
        }
        Table.lines(listOf("ms", "process", "event", "fields"), rows).forEach(context.printOut)
        trace.causes().forEach(context.printOut)
    }
}
