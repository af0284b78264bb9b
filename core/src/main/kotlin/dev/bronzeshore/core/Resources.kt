/** Resource amounts of tasks and workers as exact integers. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** An amount of processors, memory and accelerators; never negative in accepted input. */
@Serializable
public data class Resources(
    public val processorsMillicores: Long,
    public val memoryBytes: Long,
    public val accelerators: Long = 0,
) {
    public operator fun plus(other: Resources): Resources = Resources(
        Math.addExact(processorsMillicores, other.processorsMillicores),
        Math.addExact(memoryBytes, other.memoryBytes),
        Math.addExact(accelerators, other.accelerators),
    )

    public operator fun minus(other: Resources): Resources = Resources(
        Math.subtractExact(processorsMillicores, other.processorsMillicores),
        Math.subtractExact(memoryBytes, other.memoryBytes),
        Math.subtractExact(accelerators, other.accelerators),
    )

    /** Multiplies by a number of parts; throws [ArithmeticException] on overflow. */
    public operator fun times(parts: Int): Resources = Resources(
        Math.multiplyExact(processorsMillicores, parts.toLong()),
        Math.multiplyExact(memoryBytes, parts.toLong()),
        Math.multiplyExact(accelerators, parts.toLong()),
    )

    /** True if this amount fits into [available] in every dimension. */
    public fun fitsIn(available: Resources): Boolean = processorsMillicores <= available.processorsMillicores &&
        memoryBytes <= available.memoryBytes &&
        accelerators <= available.accelerators

    public companion object {
        public val NONE: Resources = Resources(0, 0, 0)
    }
}
