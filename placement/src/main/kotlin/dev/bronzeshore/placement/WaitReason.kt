/** Says in one sentence what a queued job waits for. */
package dev.bronzeshore.placement

internal object WaitReason {
    fun of(job: JobEntry): String? {
        val waiting = job.shapeQueue ?: return null
        val size = waiting.wanted
        val kept = job.reservations.firstOrNull()
        val head = waiting.jobs.first()
        return when {
            waiting.state == QueueState.WAITS_FOR_LIMIT ->
                "Waits until plan ${waiting.kindQueue.plan.name} uses less of its allowance."
            kept != null ->
                "Room is kept on ${kept.holds.joinToString { it.room.workerId }} and expected to be free at " +
                    "${kept.startAtMs} ms."
            waiting.state == QueueState.WAITS_FOR_ROOM && head === job ->
                "Waits for ${size.processorsMillicores} millicores, ${size.memoryBytes} bytes of memory and " +
                    "${size.accelerators} accelerators to become free."
            waiting.state == QueueState.WAITS_FOR_ROOM ->
                "Waits behind job ${head.item.jobId}, which asks for the same size and waits for free room."
            else -> "Waits for its turn in the queue."
        }
    }
}
