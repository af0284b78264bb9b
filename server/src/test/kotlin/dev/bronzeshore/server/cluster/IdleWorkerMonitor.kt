/** Finds steps that wait although idle workers have room for them. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.StepName
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.delay

/** Longest time that users allow a step to wait beside workers that are idle. */
internal const val MAX_IDLE_WAIT_MS = 3_000L
private const val SAMPLE_MS = 50L

internal class IdleWorkerMonitor(private val simulation: SchedulerSimulation) {
    private val waitingSinceMs = HashMap<StepName, Long>()
    private val checker get() = simulation.workers.checker

    /** Steps that waited too long, each with the idle workers that it fits. */
    val violations = ArrayList<String>()

    suspend fun watch() {
        while (true) {
            sample()
            delay(SAMPLE_MS)
        }
    }

    private fun sample() {
        val idle = simulation.workers.ids.filter { checker.tasksOn(it).isEmpty() }
        val startable = simulation.jobIds.filterNot { simulation.phaseOf(it)?.isEnded ?: false }
            .flatMap { startableSteps(it, idle) }
        waitingSinceMs.keys.retainAll(startable.toSet())
        for (step in startable) {
            val sinceMs = waitingSinceMs.getOrPut(step) { simulation.nowMs() }
            val waitedMs = simulation.nowMs() - sinceMs
            if (waitedMs in (MAX_IDLE_WAIT_MS + 1)..(MAX_IDLE_WAIT_MS + SAMPLE_MS)) {
                violations += "step $step waits since $sinceMs ms beside the idle workers $idle"
            }
        }
    }

    private fun startableSteps(jobId: String, idle: List<String>): List<StepName> {
        val job = simulation.acceptedJob(jobId)
        // Only the advice service knows the workers of such a job.
        if (job.terms.advice != null) return emptyList()
        val steps = job.description.steps
        return steps.indices.filter { number ->
            val step = steps[number]
            val pending = step.tasksOf(jobId, number).count { it !in checker.doneTasks && !checker.isRunning(it) }
            val isUnblocked = step.after.all { earlier ->
                steps[earlier].tasksOf(jobId, earlier).all { it in checker.doneTasks }
            }
            val needed = if (step.isGang) step.replicas else 1
            isUnblocked &&
                pending >= needed &&
                isWithinLimit(job.account, step.size * needed) &&
                idle.sumOf { placesOn(it, step) } >= needed
        }.map { StepName(jobId, 0, it) }
    }

    private fun isWithinLimit(account: String?, demand: Resources): Boolean {
        val limit = simulation.accounts?.named(account ?: return true)?.limit ?: return true
        val jobs = simulation.jobIds.map { simulation.acceptedJob(it) }.filter { it.account == account }
        val used = jobs.flatMap { job ->
            job.description.steps.mapIndexed { number, step ->
                step.size * step.tasksOf(job.jobId, number).count { checker.isRunning(it) }
            }
        }
        return used.fold(demand) { sum, amount -> sum + amount }.fitsIn(limit)
    }

    private fun StepDescription.tasksOf(jobId: String, number: Int) = List(replicas) { TaskName(jobId, 0, number, it) }

    /** Tasks of the step that an idle worker takes. */
    private fun placesOn(workerId: String, step: StepDescription): Int {
        val entry = simulation.entryOf(workerId)
        if (entry.isDraining || step.requiredLabel.let { it != null && it !in entry.labels }) return 0
        val byLimit = step.maxPerWorker.takeIf { it > 0 } ?: step.replicas
        val fitting = (1..minOf(byLimit, step.replicas)).takeWhile { (step.size * it).fitsIn(entry.capacity) }
        return fitting.size
    }
}
