/** Text tables with aligned columns. */
package dev.bronzeshore.ctl

internal object Table {
    /** Formats the header and the rows; each column is as wide as its widest cell. */
    fun lines(header: List<String>, rows: List<List<String>>): List<String> {
        val all = listOf(header) + rows
        val widths = header.indices.map { column -> all.maxOf { it[column].length } }
        return all.map { row ->
            row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
