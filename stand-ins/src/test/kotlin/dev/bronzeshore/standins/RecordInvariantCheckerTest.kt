package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory

/** Guards against missed violations and false positives. */
class RecordInvariantCheckerTest {
    private class Case(val name: String, val records: List<ServerRecords>, vararg val expected: ViolationKind)

    private val half = Resources(500, 500)
    private val most = Resources(700, 700)

    private val cases = listOf(
        Case("no records", emptyList()),
        Case(
            "consecutive and concurrent tasks",
            listOf(worker("w", task("a", 0, 10, half), task("b", 0, null, half), task("c", 10, 20, half))),
        ),
        Case(
            "sizes above the capacity, usage within it",
            listOf(worker("w", task("a", 0, 10, most, half), task("b", 0, 10, most, half))),
        ),
        Case(
            "capacity that a throttled task releases and another one uses",
            listOf(worker("w", throttledAt(5, task("a", 0, 10, most)), task("b", 5, 10, Resources(600, 300)))),
        ),
        Case(
            "more than the capacity for one millisecond",
            listOf(worker("w", task("a", 0, 10, most), task("b", 9, 20, half))),
            ViolationKind.OVER_COMMIT,
        ),
        Case(
            "more than the capacity while both still run",
            listOf(worker("w", task("a", 0, null, half), task("b", 9, null, most))),
            ViolationKind.OVER_COMMIT,
        ),
        Case(
            "more than the capacity in one dimension",
            listOf(worker("w", task("a", 0, 10, Resources(0, 0, accelerators = 1)))),
            ViolationKind.OVER_COMMIT,
        ),
        Case(
            "tasks that use more than their size",
            listOf(worker("w", task("a", 0, 10, half, most), task("b", 0, 10, half))),
            ViolationKind.OVER_USE,
        ),
        Case(
            "a start without free capacity",
            listOf(worker("w", task("a", 0, 10, most), refused("b", Refusal.NO_ROOM), refused("c", Refusal.LATE))),
            ViolationKind.START_WITHOUT_ROOM,
        ),
        Case(
            "a part that runs again elsewhere after it ended",
            listOf(worker("v", task("a", 0, 10, half)), worker("w", task("a", 10, 20, half, attempt = 2))),
        ),
        Case(
            "a part that runs again elsewhere before it ended",
            listOf(worker("v", task("a", 0, 10, half)), worker("w", task("a", 9, 20, half, attempt = 2))),
            ViolationKind.PART_TWICE_AT_ONCE,
        ),
        Case(
            "a part that fails immediately elsewhere while it runs",
            listOf(worker("v", task("a", 0, null, half)), worker("w", task("a", 9, 9, half, attempt = 2))),
            ViolationKind.PART_TWICE_AT_ONCE,
        ),
        Case(
            "a part that overlaps the first of two earlier attempts",
            listOf(
                worker("u", task("a", 0, 30, half)),
                worker("v", task("a", 5, 6, half, attempt = 2)),
                worker("w", task("a", 20, 40, half, attempt = 3)),
            ),
            ViolationKind.PART_TWICE_AT_ONCE,
        ),
        Case(
            "two parts of one job at the same time",
            listOf(worker("v", task("a", 0, 10, half)), worker("w", otherPart(task("a", 0, 10, half)))),
        ),
        Case(
            "a part that is not idempotent and runs again",
            listOf(worker("v", task("once", 0, 10, half)), worker("w", task("once", 10, 20, half, attempt = 2))),
            ViolationKind.PART_REPEATED,
        ),
        Case(
            "a part that is not idempotent and runs after a refusal",
            listOf(worker("v", refused("once", Refusal.LATE)), worker("w", task("once", 10, 20, half, attempt = 2))),
        ),
        Case("requests that may run twice", listOf(endpoint("e", request("r"), request("r"), request(null)))),
        Case(
            "a request that is not idempotent and runs on two endpoints",
            listOf(endpoint("e", request("once")), endpoint("f", request("once", RequestEnding.BROKEN))),
            ViolationKind.REQUEST_REPEATED,
        ),
        Case(
            "a request that is not idempotent and runs after a refusal",
            listOf(endpoint("e", request("once", RequestEnding.REFUSED_NO_SLOT)), endpoint("f", request("once"))),
            ViolationKind.REQUEST_WITHOUT_SLOT,
        ),
    )

    @TestFactory
    fun `each violation is found once and valid records have none`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            val checker = RecordInvariantChecker({ it != "once" }, { it != "once" })
            assertEquals(case.expected.toList(), checker.findViolations(case.records).map { it.kind })
        }
    }

    private fun task(
        job: String,
        startedAtMs: Long,
        endedAtMs: Long?,
        size: Resources,
        used: Resources = size,
        attempt: Long = 1,
    ): TaskRecord {
        val ending = endedAtMs?.let { TaskState.SUCCEEDED }
        val uses = listOf(UseSince(startedAtMs, used))
        return TaskRecord(TaskId(job, 0, attempt), "w", "kind", size, startedAtMs, uses, endedAtMs, ending)
    }

    private fun otherPart(task: TaskRecord): TaskRecord = task.copy(task = task.task.copy(part = 1))

    private fun throttledAt(atMs: Long, task: TaskRecord): TaskRecord =
        task.copy(uses = task.uses + UseSince(atMs, task.size.copy(processorsMillicores = 350)))

    private fun refused(job: String, refusal: Refusal): TaskRecord =
        task(job, 5, 5, half).copy(uses = emptyList(), ending = TaskState.REFUSED, refusal = refusal)

    private fun worker(id: String, vararg tasks: TaskRecord): ServerRecords =
        ServerRecords(id, ServerRole.WORKER, capacity = Resources(1_000, 1_000), tasks = tasks.toList())

    private fun request(id: String?, ending: RequestEnding = RequestEnding.ANSWERED): RequestRecord =
        RequestRecord(id, "e", "POST", "/", 0, 1, ending)

    private fun endpoint(id: String, vararg requests: RequestRecord): ServerRecords =
        ServerRecords(id, ServerRole.ENDPOINT, slots = 8, requests = requests.toList())
}
