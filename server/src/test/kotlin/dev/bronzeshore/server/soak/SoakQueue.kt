/** The queues of a soak. */
package dev.bronzeshore.server.soak

internal enum class SoakQueue(val prefix: String, val priority: Int, val maxAttempts: Int) {
    SHORT("/short/", 0, 4),
    WIDE("/wide/", 1, 4),
    FRAGILE("/fragile/", 1, 2),
}
