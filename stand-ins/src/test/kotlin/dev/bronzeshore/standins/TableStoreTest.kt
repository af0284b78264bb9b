package dev.bronzeshore.standins

import arrow.core.right
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.RowRange
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Guards against a table that accepts a stale writer or applies a transaction partially. */
class TableStoreTest {
    private class Case(val name: String, val conditions: List<Condition>, val expected: WriteResult)

    private val cases = listOf(
        Case("no condition", emptyList(), WriteResult.Applied),
        Case("a row at its version", listOf(Condition("a", 2)), WriteResult.Applied),
        Case("an absent row at 0", listOf(Condition("c", 0)), WriteResult.Applied),
        Case("an older version", listOf(Condition("a", 1)), WriteResult.Conflict("a", 2)),
        Case("a newer version", listOf(Condition("a", 3)), WriteResult.Conflict("a", 2)),
        Case("an existing row at 0", listOf(Condition("b", 0)), WriteResult.Conflict("b", 1)),
        Case("an absent row at 1", listOf(Condition("c", 1)), WriteResult.Conflict("c", 0)),
        Case("one of two fails", listOf(Condition("a", 2), Condition("b", 7)), WriteResult.Conflict("b", 1)),
    )

    @TestFactory
    fun `a transaction is applied completely if all conditions hold and not at all otherwise`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val store = filledStore()
                val before = store.readRange(RowRange(""))
                val result = store.write(Transaction("w", case.conditions, listOf(Put("a", "x"), Put("c", "y"))))
                assertEquals(case.expected.right(), result)
                if (case.expected == WriteResult.Applied) {
                    assertEquals(listOf(3L, 1L, 1L), store.readRange(RowRange("")).map { it.version })
                    assertEquals("w", store.read("a")?.writeId)
                } else {
                    assertEquals(before, store.readRange(RowRange("")))
                }
            }
        }

    @Test
    fun `a row that is deleted and written again starts at version 1`() {
        val store = filledStore()
        store.write(Transaction("d", deletes = listOf("a")))
        assertNull(store.read("a"))
        store.write(Transaction("w", listOf(Condition("a", 0)), listOf(Put("a", "x"))))
        assertEquals(1, store.read("a")?.version)
    }

    @Test
    fun `a transaction that writes a key twice is a fault`() {
        assertTrue(filledStore().write(Transaction("w", puts = listOf(Put("a", "")), deletes = listOf("a"))).isLeft())
    }

    @Test
    fun `a range read returns the rows of the prefix after the key in order`() {
        val store = TableStore()
        listOf("a/2", "b/1", "a/1", "a", "a/3", "a0").forEach {
            store.write(Transaction("w", puts = listOf(Put(it, ""))))
        }
        fun keys(range: RowRange) = store.readRange(range).map { it.key }
        assertEquals(listOf("a/1", "a/2", "a/3"), keys(RowRange("a/")))
        assertEquals(listOf("a/2", "a/3"), keys(RowRange("a/", afterKey = "a/1")))
        assertEquals(listOf("a/1", "a/2"), keys(RowRange("a/", limit = 2)))
        assertEquals(emptyList<String>(), keys(RowRange("a/", afterKey = "b")))
    }

    private fun filledStore(): TableStore = TableStore().apply {
        write(Transaction("1", puts = listOf(Put("a", "1"), Put("b", "1"))))
        write(Transaction("2", puts = listOf(Put("a", "2"))))
    }
}
