/** Describes in one sentence what a queued job waits for. */
package dev.bronzeshore.placement

internal object WaitReason {
    fun of(job: JobEntry): String? {
        val queue = job.shapeQueue ?: return null
        val size = queue.demand
        val reservation = job.reservations.firstOrNull()
        val head = queue.jobs.first()
        return when {
            queue.state == QueueState.WAITS_FOR_LIMIT ->
                "Waits until plan ${queue.kindQueue.plan.name} uses less of its allowance."
            reservation != null ->
                "Room is kept on ${reservation.workerReservations.joinToString { it.worker.workerId }} and " +
                    "expected to be free at ${reservation.startAtMs} ms."
            queue.state == QueueState.WAITS_FOR_ROOM && head === job ->
                "Waits for ${size.processorsMillicores} millicores, ${size.memoryBytes} bytes of memory and " +
                    "${size.accelerators} accelerators to become free."
            queue.state == QueueState.WAITS_FOR_ROOM ->
                "Waits behind job ${head.item.jobId}, which asks for the same size and waits for free room."
            else -> "Waits for its turn in the queue."
        }
    }
}
