/** What the stand-ins' records and the callers' answers together must show. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.standins.RecordJudge
import dev.bronzeshore.standins.RequestEnding
import dev.bronzeshore.standins.ServerRecords
import dev.bronzeshore.standins.TaskRecord

/** Lists every violation: over-commit, work that ran twice, "not run" that was not true, and answers mixed up. */
internal fun violationsOf(records: List<ServerRecords>, ends: List<RequestEnd>, jobs: JobBatch?): List<String> {
    val own = ends.mapTo(HashSet()) { it.requestId }
    val notRepeatable = jobs?.notRepeatable.orEmpty()
    val judge = RecordJudge(
        isIdempotentJob = { it !in notRepeatable },
        isIdempotentRequest = { it !in own },
    )
    val judged = judge.judge(records).map { "$it" }
    val ran = records.flatMap { it.requests }.filter { it.ending != RequestEnding.REFUSED_NO_SLOT }
        .mapNotNullTo(HashSet()) { it.requestId }
    val untrue = ends.filter { it.isToldNotRun && it.requestId in ran }.map { "ran although told not run: $it" }
    val mixedUp = ends.filter { it.isMixedUp }.map { "mixed up: $it" }
    val neverRan = ends.filter { it.isRight && it.requestId !in ran }.map { "answered but never ran: $it" }
    return judged + untrue + mixedUp + neverRan
}

/** Tasks that ran on the workers of [dataCentre]. */
internal fun tasksIn(records: List<ServerRecords>, dataCentre: String): List<TaskRecord> =
    records.flatMap { it.tasks }.filter { it.workerId.startsWith("worker-$dataCentre-") && it.refusal == null }

/** Term of the owner that started a task; attempts are numbered from `term x 1,000,000`. */
internal val TaskRecord.term: Long get() = task.attempt / 1_000_000
