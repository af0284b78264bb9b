/** Whether this process takes work from callers. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode

/** Read by all threads, changed by the control thread. */
internal class Readiness {
    @Volatile
    var isConfigured: Boolean = false

    @Volatile
    var isStopping: Boolean = false

    val isReady: Boolean get() = isConfigured && !isStopping

    /**
     * Says why no work is taken.
     *
     * A stopping process still answers: the balancer needs some time to notice that it is not ready any more.
     */
    fun check(): Either<Fault, Unit> =
        if (isConfigured) Unit.right() else Fault(ResultCode.NOT_READY, ResultCode.NOT_READY.meaning).left()
}
