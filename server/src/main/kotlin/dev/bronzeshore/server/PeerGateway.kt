/** Typed calls to other processes, and to the owner of a data centre whether it is local or remote. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.ownership.Member
import dev.bronzeshore.peering.CallType
import dev.bronzeshore.peering.PeerClient

internal class PeerGateway(
    private val self: Member,
    private val clock: ClockMs,
    private val client: PeerClient,
    private val members: () -> List<Member>,
    private val ownerIdOf: (dataCentre: String) -> String?,
) {
    /** Members other than this process. */
    val peers: List<Member> get() = members().filter { it.processId != self.processId }

    /** Calls [member], waiting at most [timeoutMs]. */
    suspend fun <Q, A> call(member: Member, type: CallType<Q, A>, request: Q, timeoutMs: Long): Either<Fault, A> =
        client.call(member.address, type, request, clock() + timeoutMs)

    /** Calls the owner of a data centre; [local] handles the call if this process is the owner. */
    suspend fun <Q, A> callOwner(
        dataCentre: String,
        type: CallType<Q, A>,
        request: Q,
        timeoutMs: Long,
        local: suspend (Q) -> Either<Fault, A>,
    ): Either<Fault, A> = ownerOf(dataCentre).flatMap { owner ->
        if (owner.processId == self.processId) local(request) else call(owner, type, request, timeoutMs)
    }

    private fun ownerOf(dataCentre: String): Either<Fault, Member> {
        val ownerId = ownerIdOf(dataCentre)
        return members().find { it.processId == ownerId }?.right()
            ?: Fault(ResultCode.NOT_OWNER, "No process is known to own data centre $dataCentre.").left()
    }
}
