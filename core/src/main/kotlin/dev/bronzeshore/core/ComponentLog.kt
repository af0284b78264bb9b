/** Logging with a fixed prefix for each part. */
package dev.bronzeshore.core

import org.tinylog.Logger

/** Writes short sentences through tinylog, each with the part's [prefix]. */
public class ComponentLog(private val prefix: String) {
    public fun info(message: () -> String): Unit = Logger.info { "$prefix: ${message()}" }

    public fun warn(message: () -> String): Unit = Logger.warn { "$prefix: ${message()}" }

    public fun debug(message: () -> String): Unit = Logger.debug { "$prefix: ${message()}" }

    public fun error(cause: Throwable, message: () -> String): Unit = Logger.error(cause) { "$prefix: ${message()}" }
}
