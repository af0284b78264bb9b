/** Checks of the stand-ins' records together with the responses to callers. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.standins.RecordInvariantChecker
import dev.bronzeshore.standins.RequestEnding
import dev.bronzeshore.standins.ServerRecords
import dev.bronzeshore.standins.TaskRecord

/** Returns every violation: over-commit, work that ran twice, a wrong "not run" and responses to another request. */
internal fun violationsOf(records: List<ServerRecords>, results: List<RequestResult>, jobs: JobBatch?): List<String> {
    val sentRequestIds = results.mapTo(HashSet()) { it.requestId }
    val nonIdempotentJobIds = jobs?.nonIdempotentJobIds.orEmpty()
    val checker = RecordInvariantChecker(
        isIdempotentJob = { it !in nonIdempotentJobIds },
        isIdempotentRequest = { it !in sentRequestIds },
    )
    val violations = checker.findViolations(records).map { "$it" }
    val executedIds = records.flatMap { it.requests }.filter { it.ending != RequestEnding.REFUSED_NO_SLOT }
        .mapNotNullTo(HashSet()) { it.requestId }
    val wronglyNotRun = results.filter { it.isReportedNotRun && it.requestId in executedIds }
        .map { "ran but reported as not run: $it" }
    val misrouted = results.filter { it.isMisrouted }.map { "response to another request: $it" }
    val neverRun = results.filter { it.isCorrect && it.requestId !in executedIds }.map { "answered but never run: $it" }
    return violations + wronglyNotRun + misrouted + neverRun
}

/** Tasks that ran on the workers of [dataCentre]. */
internal fun tasksIn(records: List<ServerRecords>, dataCentre: String): List<TaskRecord> =
    records.flatMap { it.tasks }.filter { it.workerId.startsWith("worker-$dataCentre-") && it.refusal == null }

/** Term of the owner that started a task; attempts are numbered from `term x 1,000,000`. */
internal val TaskRecord.term: Long get() = task.attempt / 1_000_000
