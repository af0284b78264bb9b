/** HTTP server of a worker. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.WorkerCommands
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText

internal class WorkerStandIn(plan: WorkerPlan, clock: ClockMs) : StandIn {
    override val id: String = plan.id
    override val faultInjector = FaultInjector()
    override val calls = CallCounter()
    private val tasks = WorkerTasks(plan, clock) { faultInjector.faults.failTasks }

    override suspend fun handleCall(call: ApplicationCall, path: String): Answer {
        if (call.request.httpMethod != HttpMethod.Post || path != "/commands") return Answer.notFound
        return Answer.json(tasks.execute(WireJson.decodeFromString<WorkerCommands>(call.receiveText())))
    }

    /** `POST /stand-in/restart` discards all tasks and their ids, but not their records. */
    override suspend fun handleControlCall(call: ApplicationCall, path: String): Answer {
        if (call.request.httpMethod != HttpMethod.Post || path != "/stand-in/restart") return Answer.notFound
        tasks.restart()
        return Answer.empty
    }

    override fun records(): ServerRecords = tasks.records(calls.counts())
}
