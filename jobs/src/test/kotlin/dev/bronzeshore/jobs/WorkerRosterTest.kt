package dev.bronzeshore.jobs

import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmRole
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WorkerRosterTest {
    private val fence = Condition("journal/ridge", 1)
    private val table = FakeTable().apply { rows[fence.key] = Row(fence.key, 1, "1", "takeover") }

    private fun workers(vararg ids: String) = ids.map { Vm(it, VmRole.WORKER, "ridge", "rack", it) }

    private suspend fun storedIds() = WorkerRoster(table.api, fence, "ridge").load().getOrNull().orEmpty().map { it.id }

    /** Guards against a roster that loses a worker which may already run tasks. */
    @Test
    fun `a delayed write does not replace a newer list`() = runTest {
        var delayedWrite: Transaction? = null
        val delayingTable = TableApi(table.api.read, table.api.readRange) { transaction ->
            if (delayedWrite == null) {
                delayedWrite = transaction
                table.writeFaults.addFirst(ResultCode.STORE_UNAVAILABLE)
            }
            table.api.write(transaction)
        }
        val roster = WorkerRoster(delayingTable, fence, "ridge")
        assertFalse(roster.save(workers("a")).getOrNull() == true)
        assertTrue(roster.save(workers("a", "b")).getOrNull() == true)
        table.api.write(checkNotNull(delayedWrite))
        assertEquals(listOf("a", "b"), storedIds())
    }

    @Test
    fun `a write whose response was lost is confirmed by reading the row again`() = runTest {
        val roster = WorkerRoster(table.api, fence, "ridge")
        table.writeFaults.add(ResultCode.WRITE_UNKNOWN)
        assertTrue(roster.save(workers("a")).getOrNull() == true)
        assertEquals(listOf("a"), storedIds())
    }

    @Test
    fun `a previous owner cannot write the list`() = runTest {
        table.rows[fence.key] = Row(fence.key, 2, "2", "next owner")
        val roster = WorkerRoster(table.api, fence, "ridge")
        assertFalse(roster.save(workers("a")).getOrNull() == true)
        assertEquals(emptyList<String>(), storedIds())
    }
}
