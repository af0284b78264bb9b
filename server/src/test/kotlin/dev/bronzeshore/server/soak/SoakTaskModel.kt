/** What the tasks of a job do, from the payload of the job: `work=MS;cpu=MILLICORES;fail=MS`. */
package dev.bronzeshore.server.soak

internal class SoakTaskModel(payload: String) {
    private val figures = payload.split(';').filter { it.contains('=') }
        .associate { it.substringBefore('=') to it.substringAfter('=').toLong() }
    val workMs = figures.getValue("work")
    val millicores = figures.getValue("cpu")

    /** Time after which each run fails by the task's own fault; 0 if it does not. */
    val failsAfterMs = figures["fail"] ?: 0
}
