/** Calls to other processes with a timeout that covers connecting and waiting for the reply. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.peering.CallType
import dev.bronzeshore.peering.PeerClient
import kotlinx.coroutines.withTimeoutOrNull

/** Clocks of two machines may differ by some seconds; the callee must not drop a call that has not timed out. */
internal const val CLOCK_SKEW_ALLOWANCE_MS = 10_000L
private const val DEFAULT_TIMEOUT_MS = 1_500L

internal class TimedPeerClient(
    private val client: PeerClient,
    private val clock: ClockMs,
    private val clockSkewAllowanceMs: Long = CLOCK_SKEW_ALLOWANCE_MS,
) {
    private val log = EventLog("peering")

    /** The reply, or null on a failure or after [timeoutMs]. */
    suspend fun <Q, A> call(peer: NodeRow, type: CallType<Q, A>, request: Q, timeoutMs: Long = DEFAULT_TIMEOUT_MS): A? {
        val answer = withTimeoutOrNull(timeoutMs) {
            client.call(peer.peerAddress, type, request, clock() + timeoutMs + clockSkewAllowanceMs)
        }
        if (answer == null) client.disconnect(peer.peerAddress)
        answer?.onLeft {
            log.event("call_failed", "call" to type.name, "peer" to peer.processName, "cause" to it.message)
        }
        return answer?.getOrNull()
    }
}
