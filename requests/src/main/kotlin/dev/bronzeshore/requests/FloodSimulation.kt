/** Simulation of admission control during a flood of requests, in virtual time and without sockets. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WorkKind
import org.HdrHistogram.Histogram
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Simulates one [FloodScenario] with the real [AdmissionQueue] and [SlotPool]. */
public class FloodSimulation internal constructor(private val scenario: FloodScenario, pick: KindPicker) {
    private class Event(val atMicros: Long, val run: () -> Unit)

    private class Counts(val kind: FloodKind, val random: Random, val load: Double) {
        val waits = Histogram(MAX_WAIT_MICROS, HISTOGRAM_DIGITS)
        var offered = 0L
        var refused = 0L
        var expired = 0L
    }

    private var nowMicros = START_MICROS
    private val events = PriorityQueue<Event>(compareBy { it.atMicros })
    private val serviceTimeRandom = Random(scenario.seed)
    private val clock = { nowMicros / MICROS_PER_MS }
    private val pool = SlotPool(clock, LatencyTracker(clock), Random(scenario.seed + 1))
    private val queue = AdmissionQueue(clock, pool, scenario.limits, pick)
    private val slots = scenario.endpoints * scenario.slotsPerEndpoint
    private val endMicros = START_MICROS + scenario.runMs * MICROS_PER_MS
    private val counts = scenario.kinds.mapIndexed { index, kind ->
        val load = if (kind.name == scenario.flooded) scenario.floodLoad else kind.load
        Counts(kind, Random(scenario.seed + 2 + index), load)
    }
    private var usedMicros = 0L

    public constructor(scenario: FloodScenario, policy: FloodPolicy) : this(scenario, pickerOf(policy))

    /** Runs the simulation to its end. */
    public fun run(): FloodReport {
        prepare()
        counts.forEach { scheduleArrival(it) }
        scheduleTick()
        while (true) {
            val event = events.poll()
            if (event == null || event.atMicros > endMicros) break
            nowMicros = event.atMicros
            event.run()
        }
        val used = usedMicros.toDouble() / (slots * scenario.runMs * MICROS_PER_MS)
        return FloodReport(counts.map { statsOf(it) }, used)
    }

    private fun prepare() {
        val kinds = scenario.kinds.map { WorkKind(it.name, it.policy, it.weight, SERVICE) }
        queue.configure(listOf(Plan(PLAN, "", kinds)))
        val list = (1..scenario.endpoints).map {
            SlotAllotment("e$it", "", SERVICE, PLAN, scenario.slotsPerEndpoint, Long.MAX_VALUE)
        }
        pool.apply("dc1", Allotments(list, 1))
    }

    private fun scheduleArrival(counts: Counts) {
        val meanMicros = scenario.meanServiceMs * MICROS_PER_MS / (slots * counts.load)
        val atMicros = nowMicros + exponential(counts.random, meanMicros)
        events.add(
            Event(atMicros) {
                arrive(counts)
                scheduleArrival(counts)
            },
        )
    }

    private fun scheduleTick() {
        events.add(
            Event(nowMicros + TICK_MICROS) {
                queue.tick()
                scheduleTick()
            },
        )
    }

    private fun arrive(counts: Counts) {
        counts.offered++
        val arrivedMicros = nowMicros
        lateinit var request: QueuedRequest
        request =
            QueuedRequest(PLAN, counts.kind.name, SERVICE, clock() + counts.kind.startWithinMs) { decision ->
                when (decision) {
                    is AdmissionDecision.Start -> start(counts, request, decision.lease, arrivedMicros)
                    is AdmissionDecision.Refused -> counts.expired++
                }
            }
        val fault = queue.queueFullFault(PLAN, counts.kind.name) ?: queue.enqueue(request)
        if (fault != null) counts.refused++
    }

    private fun start(counts: Counts, request: QueuedRequest, lease: SlotLease, arrivedMicros: Long) {
        counts.waits.recordValue(minOf(nowMicros - arrivedMicros, MAX_WAIT_MICROS))
        val serviceMicros = exponential(serviceTimeRandom, scenario.meanServiceMs * MICROS_PER_MS)
        usedMicros += minOf(serviceMicros, endMicros - nowMicros)
        events.add(Event(nowMicros + serviceMicros) { queue.release(request, lease) })
    }

    private fun statsOf(counts: Counts): FloodKindStats = FloodKindStats(
        counts.kind.name,
        counts.offered,
        counts.waits.totalCount,
        counts.refused,
        counts.expired,
        counts.waits.getValueAtPercentile(MEDIAN),
        counts.waits.getValueAtPercentile(P99),
    )

    private fun exponential(random: Random, mean: Double): Long = (-ln(1 - random.nextDouble()) * mean).toLong()

    public companion object {
        private const val MICROS_PER_MS = 1_000L
        private const val START_MICROS = 1_000_000_000L
        private const val TICK_MICROS = 50_000L
        private const val MAX_WAIT_MICROS = 60_000_000L
        private const val HISTOGRAM_DIGITS = 3
        private const val MEDIAN = 50.0
        private const val P99 = 99.0
        private const val PLAN = "plan"
        private const val SERVICE = "service"

        /**
         * Measures the real time of the decisions for one request: to queue it, choose a slot and release the slot,
         * compared with refusing it while the queue is full.
         */
        public fun decisionCost(rounds: Int = 1_000_000): DecisionCost {
            val full =
                FloodSimulation(FloodScenario(limits = AdmissionLimits(maxWaitingPerKind = 0)), FloodPolicy.FAIR)
            val open = FloodSimulation(FloodScenario(), FloodPolicy.FAIR)
            full.prepare()
            full.queue.tick()
            open.prepare()
            repeat(2) {
                open.serveNanos(rounds)
                full.refuseNanos(rounds)
            }
            return DecisionCost(open.serveNanos(rounds), full.refuseNanos(rounds))
        }
    }

    private fun serveNanos(rounds: Int): Double {
        val startNanos = System.nanoTime()
        repeat(rounds) {
            nowMicros += 1
            var lease: SlotLease? = null
            val request =
                QueuedRequest(PLAN, "interactive", SERVICE, Long.MAX_VALUE) {
                    lease = (it as AdmissionDecision.Start).lease
                }
            queue.enqueue(request)
            queue.release(request, checkNotNull(lease))
        }
        return (System.nanoTime() - startNanos).toDouble() / rounds
    }

    private fun refuseNanos(rounds: Int): Double {
        val startNanos = System.nanoTime()
        repeat(rounds) {
            nowMicros += 1
            val fault = queue.queueFullFault(PLAN, "interactive")
            check(fault?.code == ResultCode.QUEUE_FULL)
        }
        return (System.nanoTime() - startNanos).toDouble() / rounds
    }
}

private fun pickerOf(policy: FloodPolicy): KindPicker = when (policy) {
    FloodPolicy.FAIR -> FairPicker()::pick
    FloodPolicy.FAIR_WITHOUT_RESERVE -> FairPicker(reserveDeviations = null)::pick
    FloodPolicy.FIFO -> pickByHead { it.sequence }
    FloodPolicy.STRICT_PRIORITY -> pickByHead { it.startBeforeMs }
}

private fun pickByHead(key: (QueuedRequest) -> Long): KindPicker = { state ->
    state.kinds.filter { it.waiting > 0 }.minByOrNull { kind -> kind.head()?.let(key) ?: Long.MAX_VALUE }
}
