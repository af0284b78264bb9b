/** Handlers for calls from other processes; all run on the control thread. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.peering.CallHandler
import dev.bronzeshore.peering.CallType
import dev.bronzeshore.peering.handlerOf
import dev.bronzeshore.plans.ConfigurationHolder
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext

internal fun peerHandlers(
    control: CoroutineDispatcher,
    owner: OwnerService,
    configuration: ConfigurationHolder,
): List<CallHandler> {
    fun <Q, A> onControl(type: CallType<Q, A>, handle: suspend (Q) -> Either<Fault, A>): CallHandler =
        handlerOf(type) { request -> withContext(control) { handle(request) } }
    return listOf(
        onControl(PeerCalls.deputyLease) { owner.deputyLease(it) },
        onControl(PeerCalls.handover) { owner.handover(it) },
        onControl(PeerCalls.allotments) { owner.allot(it) },
        onControl(PeerCalls.jobSubmit) { owner.submit(it) },
        onControl(PeerCalls.jobQuery) { owner.status(it) },
        onControl(PeerCalls.jobCancel) { owner.cancel(it) },
        onControl(PeerCalls.jobList) { owner.list(it) },
        onControl(PeerCalls.configurationPull) { configuration.current.right() },
        onControl(PeerCalls.configurationPush) { pushed ->
            configuration.offer(pushed)
            configuration.current.version.right()
        },
    )
}
