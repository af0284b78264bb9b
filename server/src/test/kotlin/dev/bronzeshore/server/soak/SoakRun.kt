/** What a soak knows about one run of a task. */
package dev.bronzeshore.server.soak

/** What the tasks of a job do, from the payload of the job: `work=MS;cpu=MILLICORES;fail=MS`. */
internal class SoakTaskModel(payload: String) {
    private val figures = payload.split(';').filter { it.contains('=') }
        .associate { it.substringBefore('=') to it.substringAfter('=').toLong() }
    val workMs = figures.getValue("work")
    val millicores = figures.getValue("cpu")

    /** Time after which each run fails by the task's own fault; 0 if it does not. */
    val failsAfterMs = figures["fail"] ?: 0
}

/** One run; times are those of the soak. */
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

    val isRunning: Boolean get() = endedAtMs == null

    fun percent(nowMs: Long): Long = (100 * (nowMs - startedAtMs) / model.workMs).coerceIn(0, 100)

    override fun toString() = "$task #$number on $worker (term $term${if (isLate) ", order late" else ""}) " +
        "start $startedAtMs end ${endedAtMs ?: "-"} $end noted ${notedAtMs ?: "-"}"
}
