/**
 * What the logs of all processes say of one job: how it was answered, when it ran, and why it was refused, late or
 * failed.
 */
package dev.bronzeshore.ctl

private const val REJECTED = "Rejected(reason="

/** [lines] are the lines of all processes in the order of their times. */
internal class RequestTrace(private val lines: List<LogLine>, private val jobId: String) {
    /** The lines of the job itself. */
    val own: List<LogLine> = lines.filter { it.concerns(jobId) }

    /** One sentence for each cause that the logs show. */
    fun causes(): List<String> {
        val end = own.lastOrNull { it.event == "job_ended" }
        val refusals = own.filter { it.event == "submission" && it.fields["outcome"].orEmpty().startsWith(REJECTED) }
        return refusals.map { refused(it) } + when {
            end == null -> listOf("These logs show no end of the job.").filter { refusals.isEmpty() }
            end.fields["phase"] == "FAILED" -> listOf(failed(end))
            (end.number("duration_ms") ?: 0) > (end.number("objective_ms") ?: Long.MAX_VALUE) -> late(end)
            else -> listOf("It ended as ${end.fields["phase"]} within its objective.")
        }
    }

    private fun refused(answer: LogLine): String {
        val reason = answer.fields["outcome"].orEmpty().removePrefix(REJECTED).substringBefore(", retryAfterMs")
        val store = lines.lastOrNull { it.part == "store" && it.source == answer.source && it.atMs <= answer.atMs }
        val context = store?.takeIf { it.event == "lost" }
            ?.let { " The store had not served this process for ${answer.atMs - it.atMs} ms: ${it.fields["cause"]}." }
        return "Refused by ${answer.source}: $reason." + context.orEmpty()
    }

    private fun failed(end: LogLine): String {
        val workers = own.filter { it.event == "run_ended" && it.fields["end"] == "FAILED" }
            .groupingBy { it.fields["worker"] }.eachCount()
        return "Failed: ${end.fields["reason"]}. Failed runs by worker: " +
            workers.entries.joinToString { "${it.key} ${it.value}" }.ifEmpty { "none in these logs" } + "."
    }

    private fun late(end: LogLine): List<String> {
        val known = own.firstOrNull { it.event == "job_known" }
        val firstStart = own.firstOrNull { it.event == "start" }
        val overMs = (end.number("duration_ms") ?: 0) - (end.number("objective_ms") ?: 0)
        return listOfNotNull(
            "Late by $overMs ms.",
            if (known != null && firstStart != null) waited(known, firstStart) else null,
            longestRun(),
        )
    }

    private fun waited(known: LogLine, start: LogLine): String {
        val between = lines.filter { it.atMs in known.atMs..start.atMs }
        val advice = between.firstOrNull { it.event == "advice" && it.concerns(jobId) }
        val takeover = between.lastOrNull { it.event == "recovery_complete" }
        return "Its first start came ${start.atMs - known.atMs} ms after it was known" +
            advice?.let { "; permission was given after ${it.atMs - known.atMs} ms" }.orEmpty() +
            takeover?.let { "; a takeover lasted until ${it.atMs - known.atMs} ms" }.orEmpty() + "."
    }

    private fun longestRun(): String? {
        val starts = own.filter { it.event == "start" }.associateBy { it.fields["task"] to it.fields["run"] }
        val runs = own.filter { it.event == "run_ended" }
            .mapNotNull { end -> starts[end.fields["task"] to end.fields["run"]]?.let { end to end.atMs - it.atMs } }
        val (end, durationMs) = runs.maxByOrNull { it.second } ?: return null
        return "Its longest run took $durationMs ms on worker ${end.fields["worker"]}."
    }
}
