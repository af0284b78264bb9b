/** The error type carried on the left side of `Either` across all parts. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/**
 * One fault with its numbered [code].
 *
 * [place] says where in the input the fault is (field path, file and line), [accepted] what would be accepted there.
 * [retryAtMs] is the earliest time at which a retry makes sense.
 */
@Serializable
public data class Fault(
    public val code: ResultCode,
    public val message: String,
    public val place: String? = null,
    public val accepted: String? = null,
    public val retryAtMs: Long? = null,
)
