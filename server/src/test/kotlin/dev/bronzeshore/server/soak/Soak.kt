/** Runs one seed of the soak: jobs under faults, a quiet time until all jobs have ended, and a report. */
package dev.bronzeshore.server.soak

import java.nio.file.Path

private const val WARM_UP_MS = 3_000L
private const val QUIET_MS = 60_000L

/** Time after the last submission from which on work must go on, whatever has been disturbed. */
private const val FINISH_MS = 14_000L
private const val LATE_JOBS = 2
private const val LATE_JOB_ID = 0x1a7e_0000L
private const val LATE_ESTIMATE_MS = 400L

/** Log lines of processes this long before and after a violation belong to its report. */
private const val REPORT_BEFORE_MS = 15_000L
private const val REPORT_AFTER_MS = 1_500L
private val REPORTED_EVENTS = listOf(
    "worker_", "takeover", "gained", "\"lost\"", "recovery_", "released", "start_un", "journal_failed", "run_lost",
    "renewal_failed", "fenced", "run_adopted", "gang_reserved", "gang_cannot_start", "kept_capacity_used",
)

internal class Soak(private val options: SoakOptions, private val folder: Path) {
    private val deployment = SoakDeployment(options, folder)
    private val log get() = deployment.log
    private val checker get() = deployment.checker

    fun run(): SoakResult = deployment.use {
        deployment.start()
        deployment.clients.startSubmitting(options.jobsPerSecond)
        deployment.awaitUntil(WARM_UP_MS) { false }
        SoakFaultInjector(deployment, options.seed).use { injector ->
            injector.schedule(drawFaults(options.seed, options.kinds, options.faultsMs))
            deployment.awaitUntil(options.faultsMs) { false }
        }
        log.add("faults have ended")
        deployment.awaitUntil(WARM_UP_MS) { false }
        deployment.clients.stopSubmitting()
        repeat(LATE_JOBS) { deployment.clients.submit(lateJob(it)) }
        val finishedAtMs = log.nowMs + FINISH_MS
        val idleMonitor = SoakIdleMonitor(deployment)
        deployment.awaitUntil(QUIET_MS) {
            if (log.nowMs >= finishedAtMs) idleMonitor.sample()
            openJobs().isEmpty()
        }
        openJobs().forEach { checker.report("LOST", it.id, "job ${it.path} is ${it.state.ifEmpty { "not shown" }}") }
        deployment.clients.jobs.filter { it.isAccepted }.forEach { checker.checkShownState(it) }
        result()
    }

    private fun openJobs() = deployment.clients.jobs.filter {
        it.isAccepted &&
            !it.isEnded &&
            !it.isCancelSent &&
            !it.payload.isHopeless
    }

    /** A job whose second step is late by the estimates, and whose turn comes when all others have ended. */
    private fun lateJob(number: Int): SoakJob {
        val first = SoakStep(1, millicores = 1_000, workMs = FINISH_MS + WARM_UP_MS, estimateMs = LATE_ESTIMATE_MS)
        val second = first.copy(workMs = LATE_ESTIMATE_MS, after = 0)
        val id = "%016x".format(LATE_JOB_ID + number)
        return SoakJob(id, SoakQueue.SHORT, SoakPayload(listOf(first, second)), isCancelled = false)
    }

    private fun result(): SoakResult {
        val states = deployment.clients.jobs.groupingBy { it.state }.eachCount()
        val violations = checker.violations
        val rules = violations.groupingBy { it.rule }.eachCount()
        val summary = "seed ${options.seed}: violations $rules, starts ${checker.starts}, ends ${checker.ends()}, " +
            "jobs $states, ${log.nowMs / 1000} s"
        return SoakResult(violations, summary, listOf(summary) + report())
    }

    private fun report(): List<String> {
        val lines = ArrayList<String>()
        lines += "== events of the soak"
        lines += log.lines
        for (violation in checker.violations.distinctBy { it.task }.take(12)) {
            lines += "== ${violation.atMs} ${violation.rule} ${violation.task}: ${violation.text}"
            lines += checker.runsOf(violation.task).map { "   run $it" }
            lines += logLinesOf(violation)
        }
        return lines
    }

    private fun logLinesOf(violation: SoakViolation): List<String> {
        val runs = checker.runsOf(violation.task)
        val fromMs = (runs.minOfOrNull { it.startedAtMs } ?: violation.atMs) - REPORT_BEFORE_MS
        return deployment.processes.flatMap { process ->
            process.logLines.mapNotNull { line ->
                val atMs = log.fromWallMs(AT_MS.find(line)?.groupValues?.get(1)?.toLong() ?: return@mapNotNull null)
                val isNear = atMs in fromMs..violation.atMs + REPORT_AFTER_MS
                val isEvent = isNear && REPORTED_EVENTS.any { it in line }
                if (isEvent ||
                    violation.task in line
                ) {
                    atMs to "   $atMs ${process.name} ${line.substringAfter(" INFO ")}"
                } else {
                    null
                }
            }
        }.sortedBy { it.first }.map { it.second }
    }

    private companion object {
        val AT_MS = Regex("\"at_ms\":(\\d+)")
    }
}
