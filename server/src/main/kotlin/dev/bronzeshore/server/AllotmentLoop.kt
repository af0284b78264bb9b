/** Keeps this process supplied with endpoint slots from the owners of all data centres. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.requests.Allotments
import dev.bronzeshore.requests.RequestRouter

private const val ALLOTMENT_TIMEOUT_MS = 800L

internal class AllotmentLoop(
    private val gateway: PeerGateway,
    private val local: OwnerService,
    private val router: RequestRouter,
    private val dataCentres: DataCentres,
    private val processId: String,
) {
    private val log = ComponentLog("requests")

    /** Asks one owner; without an answer the slots held so far run out at their deadline. */
    suspend fun refresh(dataCentre: String) {
        val request = router.allotmentRequest(dataCentre, processId)
        gateway.callOwner(dataCentre, PeerCalls.allotments, request, ALLOTMENT_TIMEOUT_MS) { local.allot(it) }
            .fold({ log.debug { "No slots from $dataCentre: ${it.message}" } }, { confirm(dataCentre, it) })
    }

    /** A smaller grant is confirmed at once, so that the owner can give the slots to another process. */
    private suspend fun confirm(dataCentre: String, allotments: Allotments) {
        if (!router.apply(dataCentre, allotments)) return
        val request = router.allotmentRequest(dataCentre, processId)
        gateway.callOwner(dataCentre, PeerCalls.allotments, request, ALLOTMENT_TIMEOUT_MS) { local.allot(it) }
            .onRight { router.apply(dataCentre, it) }
    }

    /** Names of the data centres to ask. */
    fun targets(): List<String> = dataCentres.all.map { it.dataCentre }
}
