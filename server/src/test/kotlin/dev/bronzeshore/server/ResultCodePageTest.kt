/** Compares the page of result codes with the enum [ResultCode]. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val PAGE = "docs/result-codes.md"

/** Guards against codes missing from the page and against rows that name no code or describe another one. */
class ResultCodePageTest {
    private data class PageRow(
        val number: String,
        val name: String,
        val httpStatus: String,
        val outcome: String,
        val meaning: String,
    )

    private val cells = RepositoryFiles.text(PAGE).lines()
        .filter { it.startsWith("| ") && it.substringAfter("| ").first().isDigit() }
        .map { line -> line.trim().trim('|').split('|').map { it.trim() } }

    private val pageRows = cells.map {
        PageRow(number = it[0], name = it[1].trim('`'), httpStatus = it[2], outcome = it[3], meaning = it[4])
    }

    private val codeRows = ResultCode.entries.map {
        PageRow(it.number.toString(), it.name, it.httpStatus.toString(), it.outcome.name, it.meaning)
    }

    @Test
    fun `the rows of the page match the codes`() {
        assertEquals(codeRows.joinToString("\n"), pageRows.joinToString("\n"))
    }

    @Test
    fun `every row says what a caller should do`() {
        val incomplete = cells.filter { it.size != CELLS || it.last().isEmpty() }
        assertTrue(incomplete.isEmpty()) { "rows without six filled cells: $incomplete" }
    }

    @Test
    fun `numbers and names are unique`() {
        assertEquals(ResultCode.entries.size, pageRows.distinctBy { it.number }.size)
        assertEquals(ResultCode.entries.size, pageRows.distinctBy { it.name }.size)
    }

    private companion object {
        const val CELLS = 6
    }
}
