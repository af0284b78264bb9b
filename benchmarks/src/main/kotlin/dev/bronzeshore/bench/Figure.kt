/** One measured figure as a line of JSON. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.WireJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** [size] describes the size of the measured case, for example "800 workers, 4600 parts". */
@Serializable
internal data class Figure(val name: String, val value: Double, val unit: String, val seed: Long, val size: String) {
    fun toLine(): String = WireJson.encodeToString(this)
}

/** Receives figures as they are measured. */
internal typealias FigureSink = (Figure) -> Unit
