/** Rows with kept ends: the longest ends, in as many as one row has. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.KeptEnds
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.decodeRow
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Longest name in the store, in bytes. */
private const val LONGEST_NAME = 200
private const val JOB = "00000000000000aa"
private const val ENDS_OF_FULL_ROW = 50

class KeptEndsRowTest {
    private fun longEnd(number: Int) = TaskEnd(
        Long.MAX_VALUE - number,
        TaskRun(TaskName(JOB, Int.MAX_VALUE, Int.MAX_VALUE, Int.MAX_VALUE - number), Long.MAX_VALUE),
        EndKind.LEASE_EXPIRED,
        "c".repeat(LONGEST_NAME),
    )

    /** Guards against kept ends that the store refuses, so that no end of any worker is acknowledged any more. */
    @Test
    fun `a full row of the longest kept ends fits`() {
        val registry = KeptEndRegistry(term = Long.MAX_VALUE)
        val changed = (0..ENDS_OF_FULL_ROW).map { registry.keep(longEnd(it), "w".repeat(LONGEST_NAME)) }
        val rows = changed.distinct().map { it.toWrite() }
        val stored = rows.map { decodeRow(KeptEnds.serializer(), it.value).getOrNull()?.ends?.size }
        assertEquals(listOf<Int?>(ENDS_OF_FULL_ROW, 1), stored)
        assertEquals(rows.map { it.id }, registry.rowsOf(JOB))
        assertTrue(rows.all { it.value.size <= MAX_ROW_BYTES }) { "${rows.map { it.value.size }} bytes" }
    }
}
