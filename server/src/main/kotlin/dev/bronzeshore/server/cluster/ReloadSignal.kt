/** Handler of the signal that the platform sends when the settings file has changed. */
package dev.bronzeshore.server.cluster

import sun.misc.Signal

/** Without a handler the JVM shuts down on this signal, as on a planned stop. */
private const val RELOAD_SIGNAL = "HUP"

/** Calls [reload] on each reload signal instead of shutting down. */
internal fun onReloadSignal(reload: () -> Unit) {
    Signal.handle(Signal(RELOAD_SIGNAL)) { reload() }
}
