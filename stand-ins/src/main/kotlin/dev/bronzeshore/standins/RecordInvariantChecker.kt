/** Finds violations of what must always hold in the records of the stand-ins. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources

private class RoomChange(val atMs: Long, val used: Resources, val given: Resources)

/**
 * Judges records from any number of servers, whose clocks must agree.
 *
 * [isIdempotentJob] and [isIdempotentRequest] tell from an id whether the work may run more than once.
 */
public class RecordInvariantChecker(
    private val isIdempotentJob: (jobId: String) -> Boolean = { true },
    private val isIdempotentRequest: (requestId: String) -> Boolean = { true },
) {
    /** Returns all violations, in the order of their kinds. */
    public fun findViolations(records: List<ServerRecords>): List<Violation> {
        val tasks = records.flatMap { it.tasks }
        val requests = records.flatMap { it.requests }
        val found = records.mapNotNull { overCommit(it) } +
            startsWithoutRoom(tasks) +
            partViolations(tasks.filter { it.refusal == null }) +
            requestViolations(requests)
        return found.sortedBy { it.kind }
    }

    /** Finds the first moment at which a worker was over its capacity. */
    private fun overCommit(worker: ServerRecords): Violation? {
        val changes = worker.tasks.filter { it.refusal == null }.flatMap { changesOf(it) }
        var used = Resources.NONE
        var given = Resources.NONE
        // All changes of one millisecond count as one, because their order within it is not recorded.
        for ((atMs, group) in changes.groupBy { it.atMs }.toSortedMap()) {
            group.forEach {
                used += it.used
                given += it.given
            }
            if (!used.fitsIn(worker.capacity)) {
                val kind = if (given.fitsIn(worker.capacity)) ViolationKind.OVER_USE else ViolationKind.OVER_COMMIT
                return Violation(kind, worker.id, atMs, "$used used, $given given, ${worker.capacity} held")
            }
        }
        return null
    }

    private fun changesOf(task: TaskRecord): List<RoomChange> {
        val changes = mutableListOf<RoomChange>()
        var used = Resources.NONE
        task.uses.forEach {
            val given = if (changes.isEmpty()) task.size else Resources.NONE
            changes += RoomChange(it.sinceMs, it.used - used, given)
            used = it.used
        }
        task.endedAtMs?.let { changes += RoomChange(it, Resources.NONE - used, Resources.NONE - task.size) }
        return changes
    }

    private fun startsWithoutRoom(tasks: List<TaskRecord>): List<Violation> = tasks
        .filter { it.refusal == Refusal.NO_ROOM }
        .map { Violation(ViolationKind.START_WITHOUT_ROOM, it.workerId, it.startedAtMs, "${it.task}") }

    private fun partViolations(tasks: List<TaskRecord>): List<Violation> = tasks
        .groupBy { PartKey(it.task.jobId, it.task.part) }
        .flatMap { (part, attempts) ->
            val ordered = attempts.sortedWith(compareBy({ it.startedAtMs }, { it.endMs() }))
            listOfNotNull(overlap(part, ordered), repeat(part, ordered))
        }

    private fun overlap(part: PartKey, ordered: List<TaskRecord>): Violation? {
        var longest: TaskRecord? = null
        for (task in ordered) {
            val earlier = longest
            if (earlier != null && task.startedAtMs < earlier.endMs()) {
                val detail = "${earlier.task} on ${earlier.workerId} and ${task.task} on ${task.workerId}"
                return Violation(ViolationKind.PART_TWICE_AT_ONCE, "$part", task.startedAtMs, detail)
            }
            if (earlier == null || task.endMs() > earlier.endMs()) longest = task
        }
        return null
    }

    private fun repeat(part: PartKey, ordered: List<TaskRecord>): Violation? {
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
            .mapNotNull { (id, runs) -> if (id == null) null else repeat(id, runs.sortedBy { it.startedAtMs }) }
        return refused + repeated
    }

    private fun repeat(requestId: String, ordered: List<RequestRecord>): Violation? {
        if (ordered.size < 2 || isIdempotentRequest(requestId)) return null
        val where = ordered.map { it.endpointId }
        return Violation(ViolationKind.REQUEST_REPEATED, requestId, ordered[1].startedAtMs, where.joinToString())
    }

    private fun TaskRecord.endMs(): Long = endedAtMs ?: Long.MAX_VALUE

    private data class PartKey(val jobId: String, val part: Int) {
        override fun toString(): String = "$jobId/$part"
    }
}
