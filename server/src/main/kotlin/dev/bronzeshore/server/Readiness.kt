/** Whether this process accepts work from callers. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode

/** Read on any thread, written on the control thread. */
internal class Readiness {
    @Volatile
    var isConfigured: Boolean = false

    @Volatile
    var isStopping: Boolean = false

    val isReady: Boolean get() = isConfigured && !isStopping

    /**
     * Returns the fault for callers while no configuration is known.
     *
     * A stopping process still serves requests, because the load balancer needs time to notice that it is not ready.
     */
    fun check(): Either<Fault, Unit> =
        if (isConfigured) Unit.right() else Fault(ResultCode.NOT_READY, ResultCode.NOT_READY.meaning).left()
}
