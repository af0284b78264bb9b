/** One parsed document together with the faults found in it so far. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.json.JsonElement

/**
 * A parsed document. [lines] is null for content that did not come from a text file.
 */
public class Document internal constructor(
    public val root: JsonElement,
    private val file: String,
    private val lines: LineIndex?,
) {
    private val found = ArrayList<LocatedFault>()

    /** All faults in the order of their lines. */
    internal val faults: List<Fault> get() = found.sortedBy { it.line }.map { it.fault }

    /** Records a fault at the field [path]. */
    public fun report(code: ResultCode, path: String, message: String, accepted: String) {
        reportAt(lines?.lineOf(path) ?: 0, Fault(code, message, path, accepted))
    }

    internal fun reportDuplicateKeys() {
        for (duplicate in lines?.duplicates.orEmpty()) {
            val message = "The key \"${duplicate.path.substringAfterLast('.')}\" appears more than once."
            reportAt(
                duplicate.line,
                Fault(ResultCode.DUPLICATE_KEY, message, duplicate.path, "each key once per object"),
            )
        }
    }

    private fun reportAt(line: Int, fault: Fault) {
        val field = fault.place.orEmpty().ifEmpty { "(document)" }
        val place = if (lines == null) "$file $field" else "$file:$line $field"
        found += LocatedFault(line, fault.copy(place = place))
    }

    private data class LocatedFault(val line: Int, val fault: Fault)
}
