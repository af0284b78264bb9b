/** One server of the platform as the host sees it. */
package dev.bronzeshore.standins

import io.ktor.server.application.ApplicationCall

/** A stand-in for one platform server; [answer] may be called from any thread. */
internal interface StandIn {
    val id: String
    val gate: FaultGate
    val calls: CallCounter

    /** Answers a call of the platform protocol. */
    suspend fun answer(call: ApplicationCall, path: String): Answer

    /** Answers a call below `/stand-in/` that only this kind of server knows. */
    suspend fun control(call: ApplicationCall, path: String): Answer = Answer.notFound

    /** Returns what happened here since the start. */
    fun records(): ServerRecords
}
