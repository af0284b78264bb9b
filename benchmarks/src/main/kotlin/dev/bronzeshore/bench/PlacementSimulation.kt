/** Simulated time and running parts around a [WorkPlacer]. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Decisions
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer
import java.util.PriorityQueue

/** A part that the placer has started. */
internal class RunningPart(val item: WorkItem, val placement: Placement, val startedAtMs: Long, var endsAtMs: Long) {
    var ended: Boolean = false
    var requeue: Boolean = false

    /** When the part would have ended without being preempted. */
    val plannedEndMs: Long = endsAtMs
}

/**
 * Advances a simulated clock and ends parts when their run time is over. A preempted part stops after [stopMs] with a
 * checkpoint, so that its next run takes only the remaining time.
 *
 * [runMsOf] is the real run time of a part, which may differ from the declared one.
 */
internal class PlacementSimulation(
    private val createPlacer: (ClockMs) -> WorkPlacer,
    private val stopMs: Long = 2_000,
    private val runMsOf: (WorkItem) -> Long = { it.declaredRunMs },
) {
    var nowMs: Long = START_MS
        private set
    val placer: WorkPlacer = createPlacer { nowMs }
    private val ends = PriorityQueue<RunningPart>(compareBy<RunningPart> { it.endsAtMs })
    private val running = HashMap<String, RunningPart>()
    private val remainingMs = HashMap<String, Long>()
    private val items = HashMap<String, WorkItem>()

    /** [onStart] is called for each part that starts, [onEnd] for each that ends or stops. */
    var onStart: (RunningPart) -> Unit = {}
    var onEnd: (RunningPart) -> Unit = {}
    var preemptions: Int = 0
        private set

    val runningCount: Int
        get() = running.size

    /** Number of parts that were submitted or requeued and have not started. */
    var waitingCount: Int = 0
        private set

    /** Reports the usage of each running part to the placer. */
    fun reportUsageOfAll(usedBy: (RunningPart) -> Resources) {
        for (part in running.values) {
            val placement = part.placement
            placer.reportUsage(placement.jobId, placement.part, placement.workerId, usedBy(part))
        }
    }

    fun submit(item: WorkItem) {
        items[item.jobId] = item
        waitingCount += item.parts
        placer.submit(item).onLeft { error("refused ${item.jobId}: $it") }
    }

    fun decide(limit: Int = 64): Decisions {
        val decisions = placer.decide(limit)
        apply(decisions)
        return decisions
    }

    fun apply(decisions: Decisions) {
        for (placement in decisions.placements) {
            val item = items.getValue(placement.jobId)
            val key = keyOf(placement.jobId, placement.part)
            val started = RunningPart(item, placement, nowMs, nowMs + (remainingMs.remove(key) ?: runMsOf(item)))
            running[key] = started
            ends.add(started)
            waitingCount--
            onStart(started)
        }
        for (preemption in decisions.preemptions) {
            val preempted = running[keyOf(preemption.jobId, preemption.part)] ?: continue
            if (preempted.requeue || preempted.endsAtMs <= nowMs + stopMs) continue
            preemptions++
            ends.remove(preempted)
            preempted.endsAtMs = nowMs + stopMs
            preempted.requeue = true
            ends.add(preempted)
        }
    }

    fun decideAll() {
        while (decide().placements.isNotEmpty()) Unit
    }

    /** Moves the clock to [untilMs], ending parts that are due in steps of [stepMs]. */
    fun advanceTo(untilMs: Long, stepMs: Long = 100) {
        while (nowMs < untilMs) {
            nowMs = minOf(untilMs, nowMs + stepMs)
            while (ends.isNotEmpty() && ends.peek().endsAtMs <= nowMs) end(ends.poll())
            decideAll()
        }
    }

    /** Ends [part] now, regardless of its run time. */
    fun endNow(part: RunningPart) {
        ends.remove(part)
        end(part)
    }

    private fun end(part: RunningPart) {
        part.ended = true
        running.remove(keyOf(part.placement.jobId, part.placement.part))
        if (part.requeue) {
            waitingCount++
            remainingMs[keyOf(part.placement.jobId, part.placement.part)] = part.plannedEndMs - nowMs
        }
        onEnd(part)
        placer.partEnded(part.placement.jobId, part.placement.part, part.placement.workerId, part.requeue)
    }

    private fun keyOf(jobId: String, part: Int): String = "$jobId/$part"

    companion object {
        const val START_MS: Long = 1_000_000_000
    }
}
