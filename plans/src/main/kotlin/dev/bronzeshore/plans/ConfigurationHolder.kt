/** The configuration that is in force in this process. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Configuration

/** Called on the control thread after a configuration has come into force. */
public typealias ConfigurationListener = (configuration: Configuration) -> Unit

/**
 * Holds the current configuration, whose version only increases.
 *
 * Not thread-safe: only the control thread may use it.
 */
public class ConfigurationHolder {
    private val log = ComponentLog("plans")
    private val listeners = ArrayList<ConfigurationListener>()

    /** The configuration in force; [Configuration.EMPTY] until one is known. */
    public var current: Configuration = Configuration.EMPTY
        private set

    /** False until the table service or a peer has supplied the configuration in force. */
    public var isKnown: Boolean = false
        private set

    /** Adds a listener and calls it immediately if a configuration is already known. */
    public fun addListener(listener: ConfigurationListener) {
        listeners += listener
        if (isKnown) {
            listener(current)
        }
    }

    /**
     * Puts [configuration] in force if it is the first one or has a higher version, and returns whether it did.
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

    // The configuration is already in force, so a failing listener must not keep the others from being called.
    private fun notify(listener: ConfigurationListener, configuration: Configuration) {
        try {
            listener(configuration)
        } catch (e: RuntimeException) {
            log.error(e) { "a listener failed on configuration ${configuration.version}" }
        }
    }
}
