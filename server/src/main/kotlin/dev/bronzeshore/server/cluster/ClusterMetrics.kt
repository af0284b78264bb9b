/** Prometheus metrics of a cluster process. Thread-safe. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.scheduler.JournalMetrics
import dev.bronzeshore.scheduler.LossMetrics
import dev.bronzeshore.scheduler.MemoryUse
import dev.bronzeshore.scheduler.PlanningMetrics
import dev.bronzeshore.scheduler.SchedulerMetrics
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private const val MS_PER_SECOND = 1_000.0
private val DURATION_BUCKETS_SECONDS = doubleArrayOf(0.005, 0.02, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)

internal class ClusterMetrics(
    configVersion: () -> Long,
    configAgeMs: () -> Long,
    term: () -> Long,
    memoryUse: () -> MemoryUse,
) {
    private val registry = PrometheusRegistry()
    private val answers = counter("bronzeshore_caller_answers_total", "Answers to callers.", "method", "status")
    private val refusedCalls =
        counter("bronzeshore_refused_calls_total", "Calls refused because of their key.", "reason")
    private val starts = counter("bronzeshore_starts_total", "Start orders by result.", "result")
    private val ends = counter("bronzeshore_run_ends_total", "Ends of runs by kind.", "kind")
    private val runsLost = counter("bronzeshore_runs_lost_total", "Runs that ended without a reported end.")
    private val crashingTasks =
        counter("bronzeshore_crashing_tasks_total", "Tasks given up because they crashed their workers.")
    private val duplicateRuns =
        counter("bronzeshore_duplicate_runs_total", "Runs of tasks that also ran elsewhere or were done.")
    private val workersGone =
        counter("bronzeshore_workers_gone_total", "Worker incarnations that ended.", "draining")
    private val workerPolls = counter("bronzeshore_worker_looks_total", "Reports asked of workers.")
    private val advice = counter("bronzeshore_advice_calls_total", "Calls for advice by outcome.", "outcome")
    private val invariantViolations = counter("bronzeshore_invariants_broken_total", "Invariants found broken.")
    private val journal = histogram("bronzeshore_journal_seconds", "Time of a journal write by outcome.", "outcome")
    private val unexpectedErrors =
        counter("bronzeshore_unexpected_errors_total", "Pieces of work that an unexpected error ended.", "work")
    private val malformed = counter("bronzeshore_malformed_total", "Input that could not be decoded.", "input")
    private val refusedRows = counter("bronzeshore_refused_rows_total", "Rows that the store does not take.", "table")
    private val gangsWithoutRoom = counter(
        "bronzeshore_gangs_without_room_total",
        "Gangs that the workers cannot hold even when they are idle.",
    )
    private val planningRounds = histogram("bronzeshore_planning_round_seconds", "Time of a planning round.")
    private val jobs =
        histogram("bronzeshore_job_seconds", "Time from acceptance to the end of a job.", "queue", "phase")

    init {
        gauge("bronzeshore_configuration_version", "Configuration in force.", configVersion)
        gauge(
            "bronzeshore_configuration_age_ms",
            "Time since the configuration was known to be the newest.",
            configAgeMs,
        )
        gauge("bronzeshore_leader_term", "Term that this process leads, or 0.", term)
        gauge("bronzeshore_tracked_tasks", "Tasks that the leader keeps in memory; 0 elsewhere.") {
            memoryUse().trackedTasks.toLong()
        }
        gauge("bronzeshore_held_bytes", "Estimated memory of the leader for accepted jobs; 0 elsewhere.") {
            memoryUse().heldBytes
        }
    }

    fun countAnswer(method: String, status: Int) = answers.labelValues(method, status.toString()).inc()

    fun countRefusedCall(reason: String) = refusedCalls.labelValues(reason).inc()

    fun countUnexpectedError(work: String) = unexpectedErrors.labelValues(work).inc()

    fun forScheduler() = SchedulerMetrics(
        start = { starts.labelValues(it).inc() },
        end = { ends.labelValues(it).inc() },
        losses = LossMetrics(
            runLost = { runsLost.inc() },
            workerGone = { workersGone.labelValues(it.toString()).inc() },
            crashingTask = { crashingTasks.inc() },
            duplicateRun = { duplicateRuns.inc() },
        ),
        workerPoll = { workerPolls.inc() },
        journal = JournalMetrics(
            write = { outcome, ms -> journal.labelValues(outcome).observe(ms / MS_PER_SECOND) },
            rowRefused = { refusedRows.labelValues(it).inc() },
        ),
        jobEnded = { queue, phase, ms -> jobs.labelValues(queue, phase).observe(ms / MS_PER_SECOND) },
        advice = { advice.labelValues(it).inc() },
        planning = PlanningMetrics(
            round = { planningRounds.observe(it / MS_PER_SECOND) },
            gangWithoutRoom = { gangsWithoutRoom.inc() },
        ),
        unexpectedError = { unexpectedErrors.labelValues(it).inc() },
        malformedInput = { malformed.labelValues(it).inc() },
        invariantBroken = { invariantViolations.inc() },
    )

    /** All metrics in the Prometheus text format. */
    fun scrape(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private fun histogram(name: String, help: String, vararg labels: String): Histogram =
        Histogram.builder().name(name).help(help).labelNames(*labels)
            .classicUpperBounds(*DURATION_BUCKETS_SECONDS).classicOnly().register(registry)

    private fun gauge(name: String, help: String, value: () -> Long) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value().toDouble()) }.register(registry)
    }
}
