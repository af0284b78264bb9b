/** What a soak knows about one run of a task; times are those of the soak. */
package dev.bronzeshore.server.soak

internal class SoakRun(
    val task: String,
    val number: Long,
    val worker: String,
    val term: Long,
    val model: SoakTaskModel,
    val startedAtMs: Long,
    val isLate: Boolean,
) {
    var stopsAtMs: Long? = null
    var endedAtMs: Long? = null
    var end: String = ""
    var endNumber = 0L
    var notedAtMs: Long? = null

    /** True once the run has ended on its worker, even if the worker has not noticed it yet. */
    var isOver: () -> Boolean = { false }
    val isRunning: Boolean get() = endedAtMs == null && !isOver()

    fun percent(nowMs: Long): Long = (100 * (nowMs - startedAtMs) / model.workMs).coerceIn(0, 100)

    override fun toString() = "$task #$number on $worker (term $term${if (isLate) ", order late" else ""}) " +
        "start $startedAtMs end ${endedAtMs ?: "-"} $end noted ${notedAtMs ?: "-"}"
}
