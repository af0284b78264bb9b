/** Feeds arrivals and ends to a placer by a clock that the feed sets. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Decisions
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer
import java.util.PriorityQueue

/** A part that the placer has started. */
internal class Running(val item: WorkItem, val placement: Placement, val startedAtMs: Long, var endsAtMs: Long) {
    var ended: Boolean = false
    var requeue: Boolean = false

    /** When the part would have ended without being preempted. */
    val plannedEndMs: Long = endsAtMs
}

/**
 * Keeps the time, ends parts when their run time is over, and checkpoints preempted parts after [stopMs]: their next
 * run takes what is left.
 *
 * [runMsOf] is the real run time of a part, which may differ from the declared one.
 */
internal class Feeder(
    private val makePlacer: (ClockMs) -> WorkPlacer,
    private val stopMs: Long = 2_000,
    private val runMsOf: (WorkItem) -> Long = { it.declaredRunMs },
) {
    var nowMs: Long = START_MS
        private set
    val placer: WorkPlacer = makePlacer { nowMs }
    private val ends = PriorityQueue<Running>(compareBy<Running> { it.endsAtMs })
    private val running = HashMap<String, Running>()
    private val remainingMs = HashMap<String, Long>()
    private val items = HashMap<String, WorkItem>()

    /** Called for each start and each end. */
    var onStart: (Running) -> Unit = {}
    var onEnd: (Running) -> Unit = {}
    var preemptions: Int = 0
        private set

    val runningCount: Int
        get() = running.size

    /** Parts that were submitted and not yet started, or requeued. */
    var waitingCount: Int = 0
        private set

    /** Reports the use of each running part. */
    fun reportAll(usedBy: (Running) -> Resources) {
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
            val started = Running(item, placement, nowMs, nowMs + (remainingMs.remove(key) ?: runMsOf(item)))
            running[key] = started
            ends.add(started)
            waitingCount--
            onStart(started)
        }
        for (preemption in decisions.preemptions) {
            val victim = running[keyOf(preemption.jobId, preemption.part)] ?: continue
            if (victim.requeue || victim.endsAtMs <= nowMs + stopMs) continue
            preemptions++
            ends.remove(victim)
            victim.endsAtMs = nowMs + stopMs
            victim.requeue = true
            ends.add(victim)
        }
    }

    fun decideAll() {
        while (decide().placements.isNotEmpty()) Unit
    }

    /** Moves the clock to [untilMs], handling the ends on the way in steps of [stepMs]. */
    fun advanceTo(untilMs: Long, stepMs: Long = 100) {
        while (nowMs < untilMs) {
            nowMs = minOf(untilMs, nowMs + stepMs)
            while (ends.isNotEmpty() && ends.peek().endsAtMs <= nowMs) end(ends.poll())
            decideAll()
        }
    }

    /** Ends [part] now, whatever its run time. */
    fun endNow(part: Running) {
        ends.remove(part)
        end(part)
    }

    private fun end(part: Running) {
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
