/** One incarnation of a worker: its runs, the ends that it reported, and whether tasks may start on it. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** A reported end that is not acknowledged before the progress of its job is stored. */
internal data class UnsavedEnd(val number: Long, val changeNumber: Long, val jobId: String)

/** What a run takes from its worker and from its client account; [account] is null if it is not known. */
internal data class StrayRun(val demand: Resources, val account: String? = null, val accountDemand: Resources = demand)

internal class TrackedWorker(entry: WorkerEntry, private val accountUsage: AccountUsage = AccountUsage()) {
    var entry: WorkerEntry = entry
        private set
    val incarnation: WorkerIncarnation = entry.incarnation
    val id: String get() = incarnation.workerId
    val clock = WorkerClock()

    /** Runs that this leader started or adopted. */
    private val placed = LinkedHashMap<TaskRun, Placement>()

    /** Runs that the worker reports but must not have. */
    private val strays = HashMap<TaskRun, StrayRun>()
    private var used = Resources.NONE

    /** The worker has seen this leader's fencing token, so it rejects requests of former leaders. */
    var isContacted: Boolean = false

    /** A report under this leader's fencing token was whole and had room for more ends: it told of all former runs. */
    var hasReportedAll: Boolean = false

    /** The last report was full of ends; the worker lists further ones once these are acknowledged. */
    var hasFurtherEnds: Boolean = false
    var isListed: Boolean = true

    /**
     * The directory has told the labels and the capacity of this incarnation; another one with the same id may be of
     * another kind.
     */
    var isDescribed: Boolean = true
        private set

    /** The incarnation is known only from its answers, or from the stored roster. */
    fun markUndescribed() {
        isDescribed = false
    }

    /** The last entry was written after this; null if that is not known. */
    var entryWrittenAfter: FeedTime? = null

    /** The entry was removed sooner than an entry without heartbeats expires, so the worker has left. */
    var hasRemovedEntry: Boolean = false

    /**
     * Monotonic time at which a draining worker counts as gone whose entry expired in an outage of the store and which
     * has not answered since; null if that is not open.
     */
    var goneIfSilentAtMs: Long? = null

    /** Monotonic time of the last attempt to connect if it was refused: no process listened at the worker's address. */
    var refusedAtMs: Long? = null

    /** Monotonic time since which the worker is not listed; null while it is. */
    var unlistedSinceMs: Long? = null
    var isReachable: Boolean = true
        private set

    /** Monotonic time since which the worker does not answer; null while it does. */
    var unreachableSinceMs: Long? = null
        private set

    /** The last report that counted; null before the first one. */
    private var lastReport: RunEvidence? = null

    /** Monotonic time of the last report of this incarnation; null before the first one. */
    val reportedAtMs: Long? get() = lastReport?.receivedAtMs

    /** Time of the worker's clock in its last answer: no run had crashed the worker by then. */
    var lastAnswerWorkerMs: Long = Long.MIN_VALUE
        private set

    private var jobsWhenUnreachable: Set<String>? = null
    private var jobsWhenDraining: Set<String>? = null

    /**
     * Jobs whose tasks may run here while nothing new starts because the worker is unreachable or draining; null while
     * tasks of any job may start.
     */
    val heldJobs: Set<String>? get() = jobsWhenUnreachable ?: jobsWhenDraining

    /** A request got no response or was not delivered; nothing more starts here until the worker has been probed. */
    var isSuspect: Boolean = false

    /** Requests a report at once. */
    var probe: suspend () -> Unit = {}

    /** The incarnation has certainly ended, and its runs with it. */
    var isGone: Boolean = false

    /** The stored roster names this incarnation; no task starts on a worker that a new leader would not query. */
    var isOnRoster: Boolean = false
    var quarantinedUntilMs: Long = Long.MIN_VALUE

    /** Reservation for tasks that are suspected to crash their workers. */
    var trial: TrialReservation? = null

    /** Job for whose suspected tasks a former leader had reserved the worker; it matters until the worker answers. */
    var formerTrialJob: String? = null

    /** The gangs that reserved this worker in the last planning round. */
    private var reservedFor: Set<TrackedStep> = emptySet()

    /** Jobs whose tasks failed here since the last success. */
    val failedJobs = HashSet<String>()
    val speed = WorkerSpeedEstimate()
    var lastEndNumber: Long = 0
    val unsavedEnds = ArrayDeque<UnsavedEnd>()
    var acknowledgedEnd: Long = 0

    /** Notes that a planning round has reserved this worker for [gang]. */
    fun reserveFor(gang: TrackedStep) {
        reservedFor += gang
    }

    val isReserved: Boolean get() = reservedFor.isNotEmpty()

    /** The gangs of the last reservations, which the next planning round renews or drops. */
    fun takeReservations(): Set<TrackedStep> = reservedFor.also { reservedFor = emptySet() }

    /** Notes a report of this incarnation that arrived at [nowMs], with the time of the worker's clock. */
    fun recordReport(nowMs: Long, workerMs: Long) {
        lastReport = RunEvidence(nowMs, workerMs)
        refusedAtMs = null
        goneIfSilentAtMs = null
        recordAnswer(workerMs)
    }

    /**
     * True if a report that was made at [workerMs] on the worker's clock need not be newer than the last one: reports
     * overtake each other. One that was requested after the last one had arrived is newer, whatever the clock says.
     */
    fun isOvertaken(requestedAtMs: Long, workerMs: Long): Boolean =
        lastReport?.let { requestedAtMs <= it.receivedAtMs && workerMs <= it.workerClockMs } ?: false

    /** Notes an answer to any request, with the time of the worker's clock. */
    fun recordAnswer(workerMs: Long) {
        lastAnswerWorkerMs = maxOf(lastAnswerWorkerMs, workerMs)
    }

    /** Tasks start again once the stored roster says that any job may run here. */
    fun markReachable() {
        if (isReachable) return
        isReachable = true
        unreachableSinceMs = null
        jobsWhenUnreachable = null
        isOnRoster = false
    }

    /** Nothing starts here until the worker answers again; [heldJobs] goes into the stored roster. */
    fun markUnreachable(nowMs: Long) {
        if (!isReachable) return
        isReachable = false
        unreachableSinceMs = nowMs
        if (hasReportedAll) jobsWhenUnreachable = placedJobs()
    }

    /**
     * The leases of former leaders have expired: nothing but runs of this leader may be here before the worker has
     * answered. True if the stored roster did not say so.
     */
    fun recordIdleUntilAnswer(): Boolean {
        if (isContacted || isReachable || jobsWhenUnreachable != null) return false
        jobsWhenUnreachable = placedJobs()
        return true
    }

    /** Takes over the listed entry; on a draining worker nothing new starts, so its jobs are fixed from then on. */
    fun update(listed: WorkerEntry) {
        if (!listed.isDraining) jobsWhenDraining = null
        if (listed.isDraining && hasReportedAll && jobsWhenDraining == null) jobsWhenDraining = placedJobs()
        if (entry.isDraining && !listed.isDraining) isOnRoster = false
        entry = listed
        isDescribed = true
    }

    /** Jobs whose tasks may be running here, or have ended here without a stored end. */
    private fun placedJobs(): Set<String> =
        (placed.keys + strays.keys).mapTo(HashSet()) { it.task.jobId } + unsavedEnds.map { it.jobId }

    /** The job for the stored roster whose suspected tasks may run here. */
    val trialJobId: String? get() = trial?.job?.id ?: formerTrialJob?.takeUnless { isContacted }

    val placements: Collection<Placement> get() = placed.values

    /** Runs of which only start answers, or none, are known; the answer to a start does not tell the incarnation. */
    val unreportedPlacements: List<Placement> get() = placed.values.filterNot { it.isReported }
    val strayRuns: Set<TaskRun> get() = strays.keys
    val free: Resources get() = entry.capacity - used

    fun placement(run: TaskRun): Placement? = placed[run]

    fun add(placement: Placement) {
        placed[placement.run] = placement
        used += demandOf(placement)
        placement.task.step.let { accountUsage.add(it.job.accepted.account, it.accountDemand) }
    }

    fun remove(placement: Placement) {
        if (placed.remove(placement.run) != null) {
            used -= demandOf(placement)
            placement.task.step.let { accountUsage.remove(it.job.accepted.account, it.accountDemand) }
        }
        if (placement.task.placement === placement) placement.task.placement = null
    }

    fun addStray(run: TaskRun, stray: StrayRun) {
        if (strays.putIfAbsent(run, stray) != null) return
        used += stray.demand
        accountUsage.add(stray.account, stray.accountDemand)
    }

    fun removeStray(run: TaskRun) {
        val stray = strays.remove(run) ?: return
        used -= stray.demand
        accountUsage.remove(stray.account, stray.accountDemand)
    }

    /** Forgets the stray runs of a worker that is gone. */
    fun removeAllStrays() = strayRuns.toList().forEach { removeStray(it) }

    fun accepts(nowMs: Long): Boolean = isContacted &&
        isListed &&
        isDescribed &&
        isReachable &&
        isOnRoster &&
        !isGone &&
        !isSuspect &&
        !entry.isDraining &&
        quarantinedUntilMs <= nowMs

    /**
     * Advances [acknowledgedEnd] over the ends whose changes are stored: those up to [savedChangeNumber], unless a row
     * of their job [isHeld] back.
     */
    fun acknowledge(savedChangeNumber: Long, isHeld: (jobId: String) -> Boolean) {
        while (unsavedEnds.isNotEmpty()) {
            val next = unsavedEnds.first()
            if (next.changeNumber > savedChangeNumber || isHeld(next.jobId)) return
            acknowledgedEnd = unsavedEnds.removeFirst().number
        }
    }

    private fun demandOf(placement: Placement) = placement.task.step.taskDemand
}

/** Resources that one task of the step takes; tasks that use idle processors take no processor share. */
internal val TrackedStep.taskDemand: Resources
    get() = if (description.usesIdleProcessors) description.size.copy(processorsMillicores = 0) else description.size
