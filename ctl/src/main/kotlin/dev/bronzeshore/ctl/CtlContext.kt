/** External dependencies of the commands. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault

/** Checks a settings file of `bronzeshore` offline and returns all faults. */
public typealias SettingsChecker = (file: String, text: String) -> List<Fault>

/** External dependencies of one run of bronzeshorectl; [checkSettings] is null if settings cannot be checked. */
public class CtlContext(
    public val environment: (name: String) -> String?,
    public val http: HttpCall,
    public val printOut: (line: String) -> Unit,
    public val printError: (line: String) -> Unit,
    public val readInput: () -> String,
    public val clock: ClockMs,
    public val newIdempotencyKey: () -> String,
    public val userName: String,
    public val checkSettings: SettingsChecker? = null,
)
