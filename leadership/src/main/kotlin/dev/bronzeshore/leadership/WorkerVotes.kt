/**
 * The answers of workers to the requests of one term, each of which brings the worker the term as its fencing token.
 *
 * An incarnation that has answered refuses the requests of former leaders for as long as it lives. A worker that starts
 * again has forgotten its token, so the vote of an incarnation is not that of the next one.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.WorkerIncarnation

/** Times are of a clock that includes suspensions. Confined to the control thread. */
internal class WorkerVotes {
    private class Answer(val startedAtMs: Long, val sentAtMs: Long)

    private val lastAnswers = HashMap<String, Answer>()

    /** Notes that [worker] has answered a request that was sent at [sentAtMs]. */
    fun record(worker: WorkerIncarnation, sentAtMs: Long) {
        val last = lastAnswers[worker.workerId]
        val isNewer = when {
            last == null || worker.startedAtMs > last.startedAtMs -> true
            worker.startedAtMs < last.startedAtMs -> false
            else -> sentAtMs > last.sentAtMs
        }
        if (isNewer) lastAnswers[worker.workerId] = Answer(worker.startedAtMs, sentAtMs)
    }

    /** The incarnations that answered a request which was sent after [sentAfterMs]. */
    fun since(sentAfterMs: Long): Set<WorkerIncarnation> = lastAnswers.entries
        .filter { it.value.sentAtMs > sentAfterMs }
        .mapTo(HashSet()) { WorkerIncarnation(it.key, it.value.startedAtMs) }

    /** Those of [workers] that answer no former leader any more: they have answered this one, or have ended. */
    fun promisesOf(workers: Set<WorkerIncarnation>): Set<WorkerIncarnation> = workers.filterTo(HashSet()) { worker ->
        lastAnswers[worker.workerId]?.let { it.startedAtMs >= worker.startedAtMs } ?: false
    }

    /** The time since the last answer of each worker was asked for. */
    fun silenceMs(nowMs: Long): Map<WorkerIncarnation, Long> =
        lastAnswers.entries.associate { WorkerIncarnation(it.key, it.value.startedAtMs) to nowMs - it.value.sentAtMs }
}
