/** The signal by which the platform says that the settings file has changed. */
package dev.bronzeshore.server.cluster

import sun.misc.Signal

/** Without a handler the runtime ends the process on this signal, as if it were a planned stop. */
private const val RELOAD_SIGNAL = "HUP"

/** Calls [reload] on each reload signal; the process goes on. */
internal fun onReloadSignal(reload: () -> Unit) {
    Signal.handle(Signal(RELOAD_SIGNAL)) { reload() }
}
