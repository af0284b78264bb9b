/** HTTP side of a worker. */
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
    override val gate = FaultGate()
    override val calls = CallCounter()
    private val tasks = WorkerTasks(plan, clock) { gate.faults.failTasks }

    override suspend fun answer(call: ApplicationCall, path: String): Answer {
        if (call.request.httpMethod != HttpMethod.Post || path != "/commands") return Answer.notFound
        return Answer.json(tasks.follow(WireJson.decodeFromString<WorkerCommands>(call.receiveText())))
    }

    /** `POST /stand-in/restart` loses all tasks and all memory of them. */
    override suspend fun control(call: ApplicationCall, path: String): Answer {
        if (call.request.httpMethod != HttpMethod.Post || path != "/stand-in/restart") return Answer.notFound
        tasks.restart()
        return Answer.empty
    }

    override fun records(): ServerRecords = tasks.records(calls.counts())
}
