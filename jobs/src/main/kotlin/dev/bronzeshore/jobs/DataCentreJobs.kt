/** Job handling of one owned data centre: acceptance, dispatch, heartbeats, recovery and completion. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobState
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.isFinal
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Time between heartbeats to one worker. */
public const val HEARTBEAT_PERIOD_MS: Long = 2_000

/** Time between two rounds of placement decisions. */
private const val DECISION_PERIOD_MS = 20L
private const val PLACEMENTS_PER_ROUND = 256

/** Delay between attempts to recover, and between writes of the roster. */
private const val RECOVERY_RETRY_MS = 200L

/** Timeout of a journal write, after which the caller is told that the outcome is unknown. */
private const val ACCEPT_TIMEOUT_MS = 5_000L

/** A job record with the owner's state that is not in the row. */
public data class JobStatus(
    public val record: JobRecord,
    public val waitReason: String? = null,
    public val running: List<RunningPart> = emptyList(),
)

public data class RunningPart(public val part: Int, public val workerId: String, public val startedAtMs: Long)

/** Handles the jobs of a data centre for one term of ownership; all calls are made on the control thread. */
public class DataCentreJobs(private val context: JobsContext) {
    private val sessions = WorkerSessions(context)
    private val tracker = JobTracker(
        context,
        TrackerOutputs(
            sendOrder = { workerId, order -> sessions.find(workerId)?.addOrder(order) },
            acknowledge = { workerId, task -> sessions.find(workerId)?.acknowledge(task) },
            onAssigned = { workerId, job, part -> sessions.find(workerId)?.assign(job, part) },
            endJob = ::endJob,
        ),
    )
    private val dispatcher = TaskDispatcher(context, tracker, sessions)
    private val recovery = JobRecovery(context, tracker, sessions)
    private var journal: JobJournal? = null
    private var roster: WorkerRoster? = null

    /** False until the first list of workers; before it, every job would fail the check that it can be placed. */
    private var workersKnown = false

    /** True once the state of all parts of the previous owner's jobs is known. */
    public var isRecovered: Boolean = false
        private set

    /** Jobs that have not ended. */
    public val openJobCount: Int get() = tracker.openJobs.size

    /** Replaces the list of workers of this data centre. */
    public fun updateWorkers(candidates: List<WorkerCandidate>) {
        sessions.update(candidates)
        workersKnown = true
    }

    /** Recovers, then runs until the scope is cancelled. */
    public suspend fun run() {
        while (!recover()) delay(RECOVERY_RETRY_MS)
        context.scope.launch { journal?.run() }
        context.scope.launch { heartbeatLoop() }
        context.scope.launch { rosterLoop() }
        while (!workersKnown || !recovery.isComplete()) delay(DECISION_PERIOD_MS)
        recovery.requeueAllUnaccounted()
        isRecovered = true
        context.log.info { "Recovered ${tracker.openJobs.size} open jobs of ${context.authority.dataCentre}." }
        decisionLoop()
    }

    private suspend fun recover(): Boolean {
        val table = context.table
        val fence = JournalFence(table, context.authority.dataCentre)
        return fence.acquire(context.authority.term).flatMap { condition ->
            val newRoster = WorkerRoster(table, condition, context.authority.dataCentre)
            newRoster.load().flatMap { vms ->
                recovery.readOpenJobs(table).map { records ->
                    sessions.addFromRoster(vms)
                    recovery.adopt(records)
                    roster = newRoster
                    journal = JobJournal(table, condition, context.clock, context.log)
                }
            }
        }.onLeft { context.log.warn { "Recovery must be repeated: ${it.message}" } }.isRight()
    }

    private suspend fun heartbeatLoop() {
        // Recovery ignores reports from before this time; an earlier first round would delay it by a heartbeat period.
        val reportsValidFromMs = context.authority.previousEffectsUntilMs + 2 * MAX_CLOCK_SKEW_MS
        delay(reportsValidFromMs + 1 - context.clock())
        while (true) {
            sessions.all.toList().forEach { context.scope.launch { dispatcher.heartbeat(it) } }
            dispatcher.handleExpiredLeases()
            delay(HEARTBEAT_PERIOD_MS)
        }
    }

    private suspend fun rosterLoop() {
        while (true) {
            val vms = sessions.all.map { it.vm }
            val saved = roster?.save(vms)?.fold({ false }, { it }) ?: false
            if (saved) sessions.markInRoster(vms)
            delay(RECOVERY_RETRY_MS)
        }
    }

    private suspend fun decisionLoop() {
        while (true) {
            if (context.mayAct()) dispatcher.dispatch(context.placer.decide(PLACEMENTS_PER_ROUND))
            delay(DECISION_PERIOD_MS)
        }
    }

    /** Accepts a job durably; a repeated submission with the same key returns the record of the first one. */
    public suspend fun submit(
        plan: String,
        idempotencyKey: String,
        submission: JobSubmission,
    ): Either<Fault, JobRecord> {
        val kind = context.kindOf(plan, submission.kind)
            ?: return Fault(ResultCode.UNKNOWN_KIND, "Plan $plan has no kind ${submission.kind}.", "kind").left()
        if (kind.service != null) {
            return Fault(
                ResultCode.UNKNOWN_KIND,
                "Kind ${kind.name} is sent to service ${kind.service}.",
                "kind",
            ).left()
        }
        val journal = journal?.takeIf { workersKnown && context.mayAct() } ?: return notOwner().left()
        val jobId = JobRows.jobId(plan, idempotencyKey)
        tracker.find(jobId)?.let { return matchSubmission(it.record, submission) }
        val record = JobRecord(jobId, plan, submission, context.authority.dataCentre, context.clock())
        context.placer.check(record.toWorkItem(kind)).onLeft { return it.left() }
        return withTimeoutOrNull(ACCEPT_TIMEOUT_MS) { accept(journal, TrackedJob(record, kind)) }
            ?: Fault(ResultCode.WRITE_UNKNOWN, "The write was not confirmed; repeat with the same key.").left()
    }

    private suspend fun accept(journal: JobJournal, job: TrackedJob): Either<Fault, JobRecord> {
        val entry = JournalEntry.acceptance(job.record)
        // The write continues after the caller times out, and a job that is written must be queued in any case.
        val append = context.scope.launch {
            journal.append(entry).onRight { if (it == AppendResult.Written) enqueue(job) }
        }
        append.join()
        return entry.outcome.await().flatMap { result ->
            if (result == AppendResult.Written) job.record.right() else readExisting(job.record)
        }
    }

    private fun enqueue(job: TrackedJob) {
        tracker.add(job)
        context.placer.submit(job.toWorkItem()).onLeft { tracker.refuse(job, it.code) }
    }

    private suspend fun readExisting(record: JobRecord): Either<Fault, JobRecord> =
        context.table.read(JobRows.jobKey(record.jobId)).flatMap { row ->
            row?.let { matchSubmission(JobRows.parse(it), record.submission) }
                ?: Fault(ResultCode.WRITE_UNKNOWN, "The job row changed; repeat with the same key.").left()
        }

    private fun matchSubmission(existing: JobRecord, submission: JobSubmission): Either<Fault, JobRecord> =
        if (existing.submission == submission) {
            existing.right()
        } else {
            Fault(
                ResultCode.KEY_REUSED,
                "Job ${existing.jobId} was submitted with other content.",
                "Idempotency-Key",
            ).left()
        }

    /** Status of an open job, or null if it is not open here. */
    public fun status(jobId: String): JobStatus? = tracker.find(jobId)?.let(::statusOf)

    /** True if parts of an open job may be stopped and run again. */
    public fun isIdempotent(jobId: String): Boolean = tracker.find(jobId)?.record?.submission?.idempotent == true

    /** Open jobs, oldest first. */
    public fun list(limit: Int): List<JobStatus> = tracker.openJobs.take(limit).map(::statusOf)

    private fun statusOf(job: TrackedJob) = JobStatus(
        record = job.record,
        waitReason = context.placer.waitReason(job.jobId),
        running = job.parts.filter { it.state == PartState.RUNNING }
            .map { RunningPart(it.index, it.workerId, it.startedAtMs) },
    )

    /** Cancels an open job; returns its status, or null if it is not open here. */
    public fun cancel(jobId: String): JobStatus? = tracker.find(jobId)?.let { job ->
        tracker.cancel(job)
        statusOf(job)
    }

    private fun endJob(job: TrackedJob, state: JobState, code: ResultCode) {
        if (job.isEnding) return
        job.isEnding = true
        val results = job.parts.mapNotNull { it.result }
        job.record = job.record.copy(state = state, code = code, results = results, endedAtMs = context.clock())
        check(job.record.state.isFinal)
        val entry = JournalEntry.completion(job.record)
        context.scope.launch { journal?.append(entry)?.onRight { removeEnded(job) } }
    }

    /** Acknowledges the tasks only now: until the row is written, a new owner needs the workers' reports of them. */
    private fun removeEnded(job: TrackedJob) {
        job.parts.filter { it.result != null }.forEach { sessions.find(it.workerId)?.acknowledge(job.taskId(it)) }
        tracker.remove(job.jobId)
    }

    private fun notOwner() =
        Fault(ResultCode.NOT_OWNER, "Data centre ${context.authority.dataCentre} is being taken over.")
}
