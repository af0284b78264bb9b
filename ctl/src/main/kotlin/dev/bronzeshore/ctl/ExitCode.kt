/** Exit codes of bronzeshorectl; docs/bronzeshorectl.md lists the same table. */
package dev.bronzeshore.ctl

/** Exit code of a command; the numbers are stable, because scripts rely on them. */
public enum class ExitCode(public val number: Int, public val meaning: String) {
    OK(0, "done"),
    REFUSED(1, "refused with a numbered code; the refused call changed nothing"),
    USAGE(2, "wrong usage: unknown command or option, missing argument, unreadable file"),
    UNKNOWN(3, "outcome unknown: the call was sent and may have taken effect; repeat the same command"),
    UNREACHABLE(4, "the server cannot be reached; the call changed nothing"),
}
