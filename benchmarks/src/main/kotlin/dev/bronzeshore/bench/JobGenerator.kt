/** Generates workers, and jobs of mixed sizes from a seed. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkKind
import kotlin.random.Random

internal const val GIB: Long = 1L shl 30

/** Properties of a generated job; the defaults suit batch work. */
internal data class JobProfile(
    val plan: String,
    val kind: WorkKind,
    val urgency: Urgency = Urgency.NORMAL,
    val parts: Int = 1,
)

internal class JobGenerator(seed: Long, private val plans: Int = 37) {
    val random: Random = Random(seed)
    private var nextJobNumber = 0

    /** Eight workers to a rack, some with accelerators; the design size is 800 workers and 1,100 accelerators. */
    fun fleet(workers: Int): List<PlacementWorker> = List(workers) { number ->
        val accelerators = if (number % WORKERS_PER_ACCELERATED == 0) 8L else 0L
        PlacementWorker("w$number", "rack${number / 8}", Resources(32_000, 128 * GIB, accelerators), true)
    }

    fun allowances(limit: Resources): List<Allowance> =
        List(plans) { Allowance("plan$it", "dc", limit, weight = 1 + it % 3) }

    fun randomPlan(): String = "plan${random.nextInt(plans)}"

    fun randomProfile(): JobProfile = JobProfile(
        plan = randomPlan(),
        kind = if (random.nextInt(5) == 0) SERVICE else BATCH,
        urgency = if (random.nextInt(3) == 0) Urgency.PATIENT else Urgency.NORMAL,
    )

    /** Sizes in steps of half a core and half a gibibyte; small ones are most frequent. */
    fun randomSize(): Resources {
        val halfCores = 1 + (random.nextDouble().let { it * it } * 20).toLong()
        val perCore = longArrayOf(1, 2, 4, 8)[random.nextInt(4)]
        val accelerators = if (random.nextInt(40) == 0) 1 + random.nextLong(4) else 0
        return Resources(halfCores * 500, halfCores * perCore * GIB / 2, accelerators)
    }

    fun job(profile: JobProfile, size: Resources, nowMs: Long, runMs: Long): WorkItem = WorkItem(
        jobId = "job${nextJobNumber++}",
        plan = profile.plan,
        kind = profile.kind,
        urgency = profile.urgency,
        size = size,
        parts = profile.parts,
        allAtOnce = false,
        acceptedAtMs = nowMs,
        startBeforeMs = null,
        declaredRunMs = runMs,
    )

    companion object {
        val BATCH: WorkKind = WorkKind("batch", Policy.BATCH)
        val SERVICE: WorkKind = WorkKind("service", Policy.INTERACTIVE)
        val GANG: WorkKind = WorkKind("gang", Policy.GANG)

        /** 800 / 6 workers x 8 is close to the 1,100 accelerators of the design size. */
        private const val WORKERS_PER_ACCELERATED = 6
    }
}
