/** Finds steps that wait although idle workers have room for them; to be sampled once all disturbances are over. */
package dev.bronzeshore.server.soak

/** Longest time that users allow a step to wait beside workers that are idle. */
private const val MAX_IDLE_WAIT_MS = 3_000L

internal class SoakIdleMonitor(private val deployment: SoakDeployment) {
    private val waitingSinceMs = HashMap<String, Long>()

    fun sample() {
        val idle = deployment.workers.filter { it.id != null && !it.isDraining && it.runCount == 0 }
        val waiting = deployment.clients.jobs.filter { it.isAccepted && !it.isEnded && !it.isCancelSent }
            .flatMap { job -> job.payload.steps.indices.filter { isKeptWaiting(job, it, idle) }.map { job to it } }
            .associate { (job, step) -> "${job.id}.0.$step" to job }
        waitingSinceMs.keys.retainAll(waiting.keys)
        for ((step, job) in waiting) {
            val sinceMs = waitingSinceMs.getOrPut(step) { deployment.log.nowMs }
            if (deployment.log.nowMs - sinceMs <= MAX_IDLE_WAIT_MS) continue
            val text = "step $step of ${job.path} waits since $sinceMs beside idle workers"
            deployment.checker.report("IDLE", job.id, text)
        }
    }

    /** Only the advice service knows the workers of an advised step, and a schedule may not be due. */
    private fun isKeptWaiting(job: SoakJob, number: Int, idle: List<SoakWorker>): Boolean {
        if (job.payload.isAdvised || job.payload.occurrences > 0) return false
        val step = job.payload.steps[number]
        val waiting = deployment.checker.waitingTasks(job, number)
        val needed = if (step.isGang) step.replicas else 1
        return waiting >= needed && idle.sumOf { placesOn(it, step) } >= needed
    }

    private fun placesOn(worker: SoakWorker, step: SoakStep): Int {
        if (step.label.isNotEmpty() && step.label !in worker.labels) return 0
        val byCapacity = (worker.millicores / step.millicores).toInt()
        return if (step.maxPerWorker > 0) minOf(byCapacity, step.maxPerWorker) else byCapacity
    }
}
