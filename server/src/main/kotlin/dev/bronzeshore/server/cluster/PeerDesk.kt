/**
 * Passes callers' requests to another process while this one cannot reach the store.
 *
 * The store may turn away single machines and serve the others.
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDesk
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import kotlin.random.Random

/** Other processes that are asked for one request; the second covers a first one that is down. */
private const val MAX_PEERS = 2

internal class PeerDesk(
    private val local: JobDesk,
    private val peers: () -> List<NodeRow>,
    private val calls: PeerCaller,
) {
    private val log = EventLog("intake")

    fun asDesk() = JobDesk(::submit, ::stateOf, ::cancel, ::waitingIn)

    private suspend fun submit(job: AcceptedJob): SubmitAnswer {
        val own = local.submit(job)
        if (own is SubmitAnswer.Accepted || own is SubmitAnswer.Rejected && own.isOverload) return own
        var answer = own
        for (peer in somePeers()) {
            val theirs = calls.call(peer, SUBMIT_CALL, job)
            log.event("submission_passed_on", "job" to job.jobId, "peer" to peer.processName, "outcome" to theirs)
            // Once an attempt has an unknown outcome, a later refusal no longer shows that the job was not stored.
            answer = when {
                theirs is SubmitAnswer.Accepted -> return theirs
                theirs is SubmitAnswer.Rejected && answer is SubmitAnswer.Rejected -> theirs
                else -> SubmitAnswer.Unknown("no process could store the job for certain")
            }
        }
        return answer
    }

    private suspend fun stateOf(jobId: String): StateAnswer {
        val own = local.stateOf(jobId)
        if (own !is StateAnswer.Unavailable) return own
        for (peer in somePeers()) {
            val theirs = calls.call(peer, STATE_CALL, JobRequest(jobId))
            if (theirs != null && theirs !is StateAnswer.Unavailable) return theirs
        }
        return own
    }

    private suspend fun cancel(jobId: String): Boolean =
        local.cancel(jobId) || somePeers().any { calls.call(it, CANCEL_CALL, JobRequest(jobId))?.isStored == true }

    private suspend fun waitingIn(queue: String): Int? =
        local.waitingIn(queue) ?: somePeers().firstNotNullOfOrNull { calls.call(it, COUNT_CALL, CountRequest(queue))?.count }

    private fun somePeers(): List<NodeRow> = peers().shuffled(Random).take(MAX_PEERS)
}
