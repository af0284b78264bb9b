/** The advice service handles one call at a time for each caller, so the leader also calls through its peers. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.AdviceCall
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.scheduler.AdviceClient

/** Clients of the service [advice] through this process and through each of [peers]; none if there is no service. */
internal fun adviceClients(
    processName: String,
    advice: AdviceCall?,
    peers: List<NodeRow>,
    peerClient: TimedPeerClient,
): List<AdviceClient> {
    if (advice == null) return emptyList()
    return listOf(AdviceClient(processName) { step, workers, _ -> advice(step, workers) }) +
        peers.map { peer ->
            AdviceClient(peer.processName) { step, workers, timeoutMs ->
                val request = AdviceRequest(step.jobId, step.occurrence, step.step, workers)
                peerClient.call(peer, ADVICE_CALL, request, timeoutMs)?.toTickets()
            }
        }
}
