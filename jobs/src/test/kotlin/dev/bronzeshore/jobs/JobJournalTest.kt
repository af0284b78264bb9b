package dev.bronzeshore.jobs

import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class JobJournalTest {
    private val fence = Condition("journal/ridge", 1)

    private fun record(id: String) = JobRecord(id, "plan", JobSubmission("batch", Resources(1, 1)), "ridge", 0)

    private fun table() = FakeTable().apply { rows[fence.key] = Row(fence.key, 1, "1", "takeover") }

    /** Guards against a result for the caller that contradicts the table. */
    @Test
    fun `the result of an acceptance matches the table`() {
        class Case(val name: String, val faults: List<ResultCode>, val expected: Any, val written: Boolean)
        val cases = listOf(
            Case("no fault", emptyList(), AppendResult.Written, true),
            Case("not sent", listOf(ResultCode.STORE_UNAVAILABLE), ResultCode.STORE_UNAVAILABLE, false),
            Case("response lost once", listOf(ResultCode.WRITE_UNKNOWN), AppendResult.Written, true),
            Case("response lost twice", List(2) { ResultCode.WRITE_UNKNOWN }, AppendResult.Written, true),
            Case(
                "response lost, then down",
                listOf(ResultCode.WRITE_UNKNOWN, ResultCode.STORE_UNAVAILABLE),
                AppendResult.Written,
                true,
            ),
        )
        cases.forEach { case ->
            runTest {
                val table = table().apply { writeFaults.addAll(case.faults) }
                val journal = JobJournal(table.api, fence, { currentTime }, ComponentLog("test"))
                backgroundScope.launch { journal.run() }
                val result = journal.append(JournalEntry.acceptance(record("a"))).fold({ it.code }, { it })
                assertEquals(case.expected, result, case.name)
                assertEquals(case.written, "job/a" in table.rows, case.name)
            }
        }
    }

    @Test
    fun `an existing row supersedes only its own entry`() = runTest {
        val table = table().apply { rows["job/a"] = Row("job/a", 1, "", "earlier") }
        val journal = JobJournal(table.api, fence, { currentTime }, ComponentLog("test"))
        val results = listOf("a", "b").map { async { journal.append(JournalEntry.acceptance(record(it))) } }
        backgroundScope.launch { journal.run() }
        assertEquals(listOf(AppendResult.Superseded, AppendResult.Written), results.map { it.await().getOrNull() })
    }

    /** Guards against an acceptance of a previous owner that the new owner never reads. */
    @Test
    fun `nothing is written after a takeover`() = runTest {
        val table = table().apply { rows[fence.key] = Row(fence.key, 2, "2", "next owner") }
        val journal = JobJournal(table.api, fence, { currentTime }, ComponentLog("test"))
        backgroundScope.launch { journal.run() }
        assertTrue(journal.append(JournalEntry.acceptance(record("a"))).isLeft())
        assertTrue("job/a" !in table.rows)
    }

    /** Guards against a write rate that grows with the number of jobs; the bound is ten flushes a second. */
    @Test
    fun `the write rate does not depend on the job rate`() = runTest {
        val writes = listOf(10, 100).map { jobsPerSecond ->
            val table = table()
            val journal = JobJournal(table.api, fence, { currentTime }, ComponentLog("test"))
            val writer = backgroundScope.launch { journal.run() }
            repeat(jobsPerSecond) {
                backgroundScope.launch { journal.append(JournalEntry.acceptance(record("$jobsPerSecond-$it"))) }
                advanceTimeBy(1_000L / jobsPerSecond)
            }
            writer.cancel()
            table.writes
        }
        assertTrue(writes.all { it <= 1_000 / JOURNAL_FLUSH_PERIOD_MS + 1 }, "writes in one second: $writes")
    }
}
