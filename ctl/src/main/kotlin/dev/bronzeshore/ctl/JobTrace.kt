/**
 * Evaluates what the logs of all processes say about one job: the outcome of its submission, when it ran, and why it
 * was refused, late or failed.
 */
package dev.bronzeshore.ctl

private const val REJECTED = "Rejected("

/** Events that say what became of a submission. */
private val SUBMISSION_EVENTS = setOf("submission", "memory_refused")

/** [lines] are the lines of all processes, ordered by time. */
internal class JobTrace(private val lines: List<LogLine>, private val jobId: String) {
    /** The lines about the job, its steps and its tasks. */
    val jobLines: List<LogLine> = lines.filter { it.isAbout(jobId) }

    /** Describes each cause that the logs show, in one sentence each. */
    fun causes(): List<String> {
        val end = jobLines.lastOrNull { it.event == "job_ended" }
        val refusals = jobLines.filter {
            it.event in SUBMISSION_EVENTS && it.fields["outcome"].orEmpty().startsWith(REJECTED)
        }
        return refusals.map { describeRefusal(it) } + when {
            end == null -> listOf("These logs show no end of the job.").filter { refusals.isEmpty() }
            end.fields["phase"] == "FAILED" -> listOf(describeFailure(end))
            (end.number("duration_ms") ?: 0) > (end.number("objective_ms") ?: Long.MAX_VALUE) -> describeDelay(end)
            else -> listOf("It ended as ${end.fields["phase"]} within its objective.")
        }
    }

    private fun describeRefusal(line: LogLine): String {
        val reason = line.fields["outcome"].orEmpty().substringAfter("reason=").substringBefore(", retryAfterMs")
        val storeLine = lines.lastOrNull { it.component == "store" && it.source == line.source && it.atMs <= line.atMs }
        val storeOutage = storeLine?.takeIf { it.event == "lost" && line.event == "submission" }
            ?.let { " The store had not served this process for ${line.atMs - it.atMs} ms: ${it.fields["cause"]}." }
        return "Refused by ${line.source}: $reason." + storeOutage.orEmpty()
    }

    private fun describeFailure(end: LogLine): String {
        val failuresByWorker = jobLines.filter { it.event == "run_ended" && it.fields["end"] == "FAILED" }
            .groupingBy { it.fields["worker"] }.eachCount()
        return "Failed: ${end.fields["reason"]}. Failed runs by worker: " +
            failuresByWorker.entries.joinToString { "${it.key} ${it.value}" }.ifEmpty { "none in these logs" } + "."
    }

    private fun describeDelay(end: LogLine): List<String> {
        val jobKnown = jobLines.firstOrNull { it.event == "job_known" }
        val firstStart = jobLines.firstOrNull { it.event == "start" }
        val overMs = (end.number("duration_ms") ?: 0) - (end.number("objective_ms") ?: 0)
        return listOfNotNull(
            "Late by $overMs ms.",
            if (jobKnown != null && firstStart != null) describeWait(jobKnown, firstStart) else null,
            describeLongestRun(),
        )
    }

    private fun describeWait(jobKnown: LogLine, start: LogLine): String {
        val between = lines.filter { it.atMs in jobKnown.atMs..start.atMs }
        val advice = between.firstOrNull { it.event == "advice" && it.isAbout(jobId) }
        val recovery = between.lastOrNull { it.event == "recovery_complete" }
        val limit = between.firstOrNull { it.event == "limit_reached" && it.isAbout(jobId) }
        val load = between.lastOrNull { it.event == "load" }
        return "Its first start came ${start.atMs - jobKnown.atMs} ms after it was known" +
            advice?.let { "; permission was given after ${it.atMs - jobKnown.atMs} ms" }.orEmpty() +
            recovery?.let { "; a takeover lasted until ${it.atMs - jobKnown.atMs} ms" }.orEmpty() +
            limit?.let { "; account ${it.fields["account"]} was at its limit" }.orEmpty() +
            load?.let { "; the workers were used to ${it.fields["used_percent"]} %" }.orEmpty() + "."
    }

    private fun describeLongestRun(): String? {
        val starts = jobLines.filter { it.event == "start" }.associateBy { it.fields["task"] to it.fields["run"] }
        val runs = jobLines.filter { it.event == "run_ended" }
            .mapNotNull { end -> starts[end.fields["task"] to end.fields["run"]]?.let { end to end.atMs - it.atMs } }
        val (end, durationMs) = runs.maxByOrNull { it.second } ?: return null
        return "Its longest run took $durationMs ms on worker ${end.fields["worker"]}."
    }
}
