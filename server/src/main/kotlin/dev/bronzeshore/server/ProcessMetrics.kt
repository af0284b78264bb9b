/** Prometheus metrics of one process, in their own registry. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ResultCode
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private const val MS_PER_SECOND = 1_000.0
private val WAIT_BUCKETS_SECONDS =
    doubleArrayOf(0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 7.7, 30.0, 300.0, 3_600.0)

/** Values of the gauges of one process. */
internal data class ProcessSnapshot(
    val ownedDataCentres: Int = 0,
    val openJobs: Int = 0,
    val quarantinedWorkers: Int = 0,
    val configurationVersion: Long = 0,
    val requestsInFlight: Int = 0,
)

/** Thread-safe. */
internal class ProcessMetrics {
    private val registry = PrometheusRegistry()
    private val responses = Counter.builder().name("bronzeshore_answers_total")
        .help("Answers to callers by result code.").labelNames("code").register(registry)
    private val waitSeconds = Histogram.builder().name("bronzeshore_wait_seconds")
        .help("Time from acceptance to start, by kind of work.").labelNames("kind")
        .classicUpperBounds(*WAIT_BUCKETS_SECONDS).classicOnly().register(registry)
    private val preemptions = Counter.builder().name("bronzeshore_preemptions_total")
        .help("Parts stopped to make room for more urgent work.").register(registry)
    private val partFailures = Counter.builder().name("bronzeshore_part_failures_total")
        .help("Parts that failed, by worker.").labelNames("worker").register(registry)

    init {
        JvmMetrics.builder().register(registry)
        addSnapshotGauges()
    }

    fun countResponse(code: ResultCode) = responses.labelValues(code.name).inc()

    fun observeWait(kind: String, waitMs: Long) = waitSeconds.labelValues(kind).observe(waitMs / MS_PER_SECOND)

    fun countPreemption() = preemptions.inc()

    fun countPartFailure(workerId: String) = partFailures.labelValues(workerId).inc()

    /** Replaced as a whole by the control thread. */
    @Volatile
    var snapshot: ProcessSnapshot = ProcessSnapshot()

    private fun addSnapshotGauges() {
        gauge("bronzeshore_owned_data_centres", "Data centres that this process owns.") { snapshot.ownedDataCentres }
        gauge("bronzeshore_open_jobs", "Jobs of owned data centres that have not ended.") { snapshot.openJobs }
        gauge("bronzeshore_quarantined_workers", "Workers in quarantine.") { snapshot.quarantinedWorkers }
        gauge("bronzeshore_configuration_version", "Configuration in force.") { snapshot.configurationVersion }
        gauge("bronzeshore_requests_in_flight", "Requests accepted and not ended.") { snapshot.requestsInFlight }
    }

    /** Adds a gauge whose value is read when the metrics are scraped; [value] must be safe to call on any thread. */
    private fun gauge(name: String, help: String, value: () -> Number) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value().toDouble()) }.register(registry)
    }

    /** All metrics in Prometheus' text format. */
    fun scrape(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toByteArray()
    }
}
