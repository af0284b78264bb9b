/** Requests endpoint slots for this process from the owners of all data centres. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.requests.Allotments
import dev.bronzeshore.requests.RequestRouter

private const val ALLOTMENT_TIMEOUT_MS = 800L

internal class AllotmentRefresher(
    private val gateway: PeerGateway,
    private val local: OwnerService,
    private val router: RequestRouter,
    private val dataCentres: DataCentres,
    private val processId: String,
) {
    private val log = ComponentLog("requests")

    /** Requests slots from one owner; without a response the slots held so far expire at their deadline. */
    suspend fun refresh(dataCentre: String) {
        val request = router.allotmentRequest(dataCentre, processId)
        gateway.callOwner(dataCentre, PeerCalls.allotments, request, ALLOTMENT_TIMEOUT_MS) { local.allot(it) }
            .fold({ log.debug { "No slots from $dataCentre: ${it.message}" } }, { confirm(dataCentre, it) })
    }

    /** Confirms a smaller grant at once, so that the owner can grant the slots to another process. */
    private suspend fun confirm(dataCentre: String, allotments: Allotments) {
        if (!router.apply(dataCentre, allotments)) return
        val request = router.allotmentRequest(dataCentre, processId)
        gateway.callOwner(dataCentre, PeerCalls.allotments, request, ALLOTMENT_TIMEOUT_MS) { local.allot(it) }
            .onRight { router.apply(dataCentre, it) }
    }

    /** Names of the data centres whose owners are asked. */
    fun targets(): List<String> = dataCentres.all.map { it.dataCentre }
}
