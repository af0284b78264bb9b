/** Logging with a fixed prefix for each component. */
package dev.bronzeshore.core

import org.tinylog.Logger

/** Writes human-readable messages through tinylog, each with the component's [prefix]. */
public class ComponentLog(private val prefix: String) {
    public fun info(message: () -> String): Unit = Logger.info { "$prefix: ${message()}" }

    public fun warn(message: () -> String): Unit = Logger.warn { "$prefix: ${message()}" }

    public fun debug(message: () -> String): Unit = Logger.debug { "$prefix: ${message()}" }

    public fun error(cause: Throwable, message: () -> String): Unit = Logger.error(cause) { "$prefix: ${message()}" }
}
