/** The configuration that is in force in this process. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Configuration

/** Called on the control thread after a configuration was taken. */
public typealias ConfigurationListener = (configuration: Configuration) -> Unit

/**
 * Holds the current configuration, whose version only grows.
 *
 * Not thread-safe: it belongs to the control thread.
 */
public class ConfigurationHolder {
    private val log = ComponentLog("plans")
    private val listeners = ArrayList<ConfigurationListener>()

    /** The configuration in force; [Configuration.EMPTY] until one is known. */
    public var current: Configuration = Configuration.EMPTY
        private set

    /** False until the table service or a peer has said which configuration is in force. */
    public var isKnown: Boolean = false
        private set

    /** Adds a listener; it is called at once if a configuration is already known. */
    public fun addListener(listener: ConfigurationListener) {
        listeners += listener
        if (isKnown) {
            listener(current)
        }
    }

    /**
     * Takes [configuration] if it is the first one or has a higher version, and says whether it was taken.
     *
     * Stale reads and late pushes carry lower versions and are ignored.
     */
    public fun offer(configuration: Configuration): Boolean {
        if (isKnown && configuration.version <= current.version) {
            return false
        }
        current = configuration
        isKnown = true
        log.info { "configuration ${configuration.version} is in force" }
        for (listener in listeners.toList()) {
            notify(listener, configuration)
        }
        return true
    }

    // The configuration is in force by now, so one failing listener must not keep it from the others.
    private fun notify(listener: ConfigurationListener, configuration: Configuration) {
        try {
            listener(configuration)
        } catch (e: RuntimeException) {
            log.error(e) { "a listener failed on configuration ${configuration.version}" }
        }
    }
}
