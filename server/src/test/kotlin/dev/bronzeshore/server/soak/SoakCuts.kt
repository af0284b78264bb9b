/** Which machines of a soak are cut off; no data passes between a group that is cut off and all others. */
package dev.bronzeshore.server.soak

import java.util.concurrent.CopyOnWriteArrayList

/** Thread-safe. Machines are named as in [SoakPlace]; the store and the advice service are outside of all groups. */
internal class SoakCuts(private val log: SoakLog) {
    private class Cut(val machines: Set<String>, val untilMs: Long)

    private val cuts = CopyOnWriteArrayList<Cut>()

    fun add(machines: Set<String>, untilMs: Long) {
        cuts += Cut(machines, untilMs)
    }

    /** Ends all cuts. */
    fun clear() = cuts.clear()

    fun isCutOff(machine: String): Boolean = active().any { machine in it.machines }

    /** True if no data passes between the two machines. */
    fun areApart(first: String, second: String): Boolean = apartForMs(first, second) > 0

    /** Time until data passes between the two machines again, as far as the present cuts go. */
    fun apartForMs(first: String, second: String): Long =
        active().filter { (first in it.machines) != (second in it.machines) }
            .maxOfOrNull { it.untilMs - log.nowMs } ?: 0

    private fun active() = cuts.filter { it.untilMs > log.nowMs }
}
