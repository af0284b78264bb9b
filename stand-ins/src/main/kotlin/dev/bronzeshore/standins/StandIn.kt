/** Interface between a stand-in and the host that serves its HTTP calls. */
package dev.bronzeshore.standins

import io.ktor.server.application.ApplicationCall

/** A stand-in for one platform server; [handleCall] may be called from any thread. */
internal interface StandIn {
    val id: String
    val faultInjector: FaultInjector
    val calls: CallCounter

    /** Handles a call of the platform protocol. */
    suspend fun handleCall(call: ApplicationCall, path: String): Answer

    /** Handles a call below `/stand-in/` that is specific to this kind of server. */
    suspend fun handleControlCall(call: ApplicationCall, path: String): Answer = Answer.notFound

    /** Returns the records of this server since its start. */
    fun records(): ServerRecords
}
