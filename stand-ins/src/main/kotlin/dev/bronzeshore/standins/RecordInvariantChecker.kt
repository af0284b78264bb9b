/** Finds violations of invariants in the records of the stand-ins. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources

private class UsageChange(val atMs: Long, val used: Resources, val allocated: Resources)

/**
 * Checks the records of any number of servers, whose clocks must be synchronised.
 *
 * [isIdempotentJob] and [isIdempotentRequest] return whether the job or request with an id may run more than once.
 */
public class RecordInvariantChecker(
    private val isIdempotentJob: (jobId: String) -> Boolean = { true },
    private val isIdempotentRequest: (requestId: String) -> Boolean = { true },
) {
    /** Returns all violations, sorted by kind. */
    public fun findViolations(records: List<ServerRecords>): List<Violation> {
        val tasks = records.flatMap { it.tasks }
        val requests = records.flatMap { it.requests }
        val violations = records.mapNotNull { findOverCommit(it) } +
            startsWithoutCapacity(tasks) +
            partViolations(tasks.filter { it.refusal == null }) +
            requestViolations(requests)
        return violations.sortedBy { it.kind }
    }

    /** Finds the first time at which the usage of a worker exceeded its capacity. */
    private fun findOverCommit(worker: ServerRecords): Violation? {
        val changes = worker.tasks.filter { it.refusal == null }.flatMap { usageChangesOf(it) }
        var used = Resources.NONE
        var allocated = Resources.NONE
        // All changes within one millisecond are applied together because their order is not recorded.
        for ((atMs, group) in changes.groupBy { it.atMs }.toSortedMap()) {
            group.forEach {
                used += it.used
                allocated += it.allocated
            }
            if (!used.fitsIn(worker.capacity)) {
                val kind = if (allocated.fitsIn(worker.capacity)) ViolationKind.OVER_USE else ViolationKind.OVER_COMMIT
                return Violation(kind, worker.id, atMs, "$used used, $allocated allocated, capacity ${worker.capacity}")
            }
        }
        return null
    }

    private fun usageChangesOf(task: TaskRecord): List<UsageChange> {
        val changes = mutableListOf<UsageChange>()
        var used = Resources.NONE
        task.uses.forEach {
            val allocated = if (changes.isEmpty()) task.size else Resources.NONE
            changes += UsageChange(it.sinceMs, it.used - used, allocated)
            used = it.used
        }
        task.endedAtMs?.let { changes += UsageChange(it, Resources.NONE - used, Resources.NONE - task.size) }
        return changes
    }

    private fun startsWithoutCapacity(tasks: List<TaskRecord>): List<Violation> = tasks
        .filter { it.refusal == Refusal.NO_ROOM }
        .map { Violation(ViolationKind.START_WITHOUT_ROOM, it.workerId, it.startedAtMs, "${it.task}") }

    private fun partViolations(tasks: List<TaskRecord>): List<Violation> = tasks
        .groupBy { PartKey(it.task.jobId, it.task.part) }
        .flatMap { (part, attempts) ->
            val ordered = attempts.sortedWith(compareBy({ it.startedAtMs }, { it.endMs() }))
            listOfNotNull(findOverlap(part, ordered), findRepeat(part, ordered))
        }

    private fun findOverlap(part: PartKey, ordered: List<TaskRecord>): Violation? {
        var latestEnding: TaskRecord? = null
        for (task in ordered) {
            val earlier = latestEnding
            if (earlier != null && task.startedAtMs < earlier.endMs()) {
                val detail = "${earlier.task} on ${earlier.workerId} and ${task.task} on ${task.workerId}"
                return Violation(ViolationKind.PART_TWICE_AT_ONCE, "$part", task.startedAtMs, detail)
            }
            if (earlier == null || task.endMs() > earlier.endMs()) latestEnding = task
        }
        return null
    }

    private fun findRepeat(part: PartKey, ordered: List<TaskRecord>): Violation? {
        if (ordered.size < 2 || isIdempotentJob(part.jobId)) return null
        val where = ordered.map { "${it.task} on ${it.workerId}" }
        return Violation(ViolationKind.PART_REPEATED, "$part", ordered[1].startedAtMs, where.joinToString())
    }

    private fun requestViolations(requests: List<RequestRecord>): List<Violation> {
        val refused = requests
            .filter { it.ending == RequestEnding.REFUSED_NO_SLOT }
            .map {
                val detail = "request ${it.requestId}"
                Violation(ViolationKind.REQUEST_WITHOUT_SLOT, it.endpointId, it.startedAtMs, detail)
            }
        val repeated = requests
            .filter { it.ending != RequestEnding.REFUSED_NO_SLOT }
            .groupBy { it.requestId }
            .mapNotNull { (id, runs) -> if (id == null) null else findRepeat(id, runs.sortedBy { it.startedAtMs }) }
        return refused + repeated
    }

    private fun findRepeat(requestId: String, ordered: List<RequestRecord>): Violation? {
        if (ordered.size < 2 || isIdempotentRequest(requestId)) return null
        val where = ordered.map { it.endpointId }
        return Violation(ViolationKind.REQUEST_REPEATED, requestId, ordered[1].startedAtMs, where.joinToString())
    }

    private fun TaskRecord.endMs(): Long = endedAtMs ?: Long.MAX_VALUE

    private data class PartKey(val jobId: String, val part: Int) {
        override fun toString(): String = "$jobId/$part"
    }
}
