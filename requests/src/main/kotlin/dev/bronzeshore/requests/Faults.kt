/** Creation of faults from result codes. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode

/** A fault with this code; [reason] is appended to the meaning of the code. */
internal fun ResultCode.toFault(reason: String? = null, retryAtMs: Long? = null): Fault =
    Fault(this, if (reason == null) meaning else "$meaning ($reason)", retryAtMs = retryAtMs)
