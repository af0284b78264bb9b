/** Faults made from result codes. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode

/** A fault of this code; [reason] is added to its meaning. */
internal fun ResultCode.toFault(reason: String? = null, retryAtMs: Long? = null): Fault =
    Fault(this, if (reason == null) meaning else "$meaning ($reason)", retryAtMs = retryAtMs)
