/** State that the workers of a soak share. */
package dev.bronzeshore.server.soak

internal class SoakFleet(val store: SoakStore, val checker: SoakChecker, val log: SoakLog) {
    /** The highest fencing token that any worker has seen. */
    @Volatile
    var newestTerm = 0L
}
