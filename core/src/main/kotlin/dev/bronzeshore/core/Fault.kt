/** The error type on the left side of `Either` in all modules. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/**
 * An error with its numbered [code].
 *
 * [place] is the location of the error in the input (field path, file and line), [accepted] describes the values that
 * are accepted there.
 * [retryAtMs] is the earliest time at which a retry can succeed.
 */
@Serializable
public data class Fault(
    public val code: ResultCode,
    public val message: String,
    public val place: String? = null,
    public val accepted: String? = null,
    public val retryAtMs: Long? = null,
)
