/** Failure of a command. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode

/** The exit code and the faults to print. */
internal data class CtlFailure(val exitCode: ExitCode, val faults: List<Fault>) {
    companion object {
        fun usage(
            message: String,
            accepted: String,
            place: String? = null,
            code: ResultCode = ResultCode.INVALID_VALUE,
        ): CtlFailure = CtlFailure(ExitCode.USAGE, listOf(Fault(code, message, place, accepted)))

        fun refused(faults: List<Fault>): CtlFailure = CtlFailure(ExitCode.REFUSED, faults)
    }
}
