/** Rules for single values that the types of the model do not express. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/**
 * A rule for the values at [pathPattern], a field path with empty indexes such as `plans[].kinds[].weight`.
 *
 * [secret] keeps the value out of messages: a plain token may have been written where its hash belongs.
 */
public data class FieldRule(
    public val pathPattern: String,
    public val code: ResultCode,
    public val accepted: String,
    public val secret: Boolean = false,
    public val holds: (value: JsonPrimitive) -> Boolean,
) {
    public companion object {
        private const val MAX_NAME_LENGTH = 64

        // Names become parts of row keys, URLs and metric labels.
        private val NAME = Regex("[\\p{L}\\p{N}][\\p{L}\\p{N}._-]*")

        /** Whether [name] can name a plan, kind, data centre, service or VM. */
        public fun isName(name: String): Boolean = name.length <= MAX_NAME_LENGTH && NAME.matches(name)

        /** Accepts names of letters, digits, '.', '_' and '-'. */
        public fun name(pathPattern: String): FieldRule = FieldRule(
            pathPattern,
            ResultCode.INVALID_VALUE,
            "1 to $MAX_NAME_LENGTH letters, digits, '.', '_' or '-', starting with a letter or digit",
        ) { isName(it.content) }

        /** Accepts whole numbers from [min] to [max]. */
        public fun number(pathPattern: String, min: Long, max: Long): FieldRule =
            FieldRule(pathPattern, ResultCode.INVALID_SIZE, "a whole number from $min to $max") {
                it.longOrNull in min..max
            }
    }
}
