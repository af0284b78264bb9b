/** Connections to in-memory workers. Each belongs to the incarnation that has accepted it, and ends with it. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.WorkerConnection

internal class WorkerConnections {
    private val accepters = ArrayList<WorkerModel>()

    fun accepterOf(connection: WorkerConnection): WorkerModel = accepters[connection.number.toInt()]

    /** Adds the connection to [accepter], on which its report came. */
    fun named(answer: HoldAnswer, accepter: WorkerModel?): HoldAnswer {
        if (answer !is HoldAnswer.Report || accepter == null) return answer
        if (accepter !in accepters) accepters += accepter
        return answer.copy(connection = WorkerConnection(accepters.indexOf(accepter).toLong()))
    }
}
