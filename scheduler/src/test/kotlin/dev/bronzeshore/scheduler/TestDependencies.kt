/** What tests of single parts of a leader need around them: one worker, one job, and no store. */
package dev.bronzeshore.scheduler

import arrow.core.left
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterBounds
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.WorkerCalls
import dev.bronzeshore.core.cluster.WorkerChange
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** A leader's dependencies with a store that answers nothing. */
internal fun dependenciesWithoutStore(
    clock: ClockMs,
    mayGrantLeases: () -> Boolean,
    calls: WorkerCalls,
    metrics: SchedulerMetrics,
) = LeaderDependencies(
    store = ClusterStore(
        transact = { StoreOutcome.NotApplied("unused") },
        readPage = { ReadFailure.Unavailable("unused").left() },
        changes = { _, _, _ -> ReadFailure.Unavailable("unused").left() },
    ),
    calls = calls,
    bounds = ClusterBounds(
        maxLeaseMs = 6_000,
        stopGraceMs = 400,
        gangWaitMs = 3_000,
        stopSignalGraceMs = 6_000,
        statusRetentionMs = 120_000,
        earlyStartMs = 250,
        remoteFactor = 1.5,
    ),
    clock = clock,
    wallClock = clock,
    metrics = metrics,
    termControl = TermControl(
        TermRenewal({ null }, {}),
        TermAuthority(mayGrantLeases, formerRevokedAtMs = { 0 }, maintain = {}, WorkerAnswers({ 0 }, { _, _ -> })),
        onLeadershipLost = {},
    ),
    adviceClients = { emptyList() },
    workers = WorkerDirectory("workers") { WorkerChange(it.id.key, null) },
)

internal fun testWorkerEntry(startedAtMs: Long, capacity: Resources) = WorkerEntry(
    WorkerIncarnation("w", startedAtMs),
    "service",
    "w:1",
    "dc",
    isDraining = false,
    capacity,
    labels = emptySet(),
    remainingMs = null,
)

/** A job of one task. */
internal fun testJob(id: String, taskSize: Resources) = AcceptedJob(
    id,
    JobDescription("", listOf(StepDescription(replicas = 1, size = taskSize, estimateMs = 1_000))),
    QueueTerms("queue", "service", 1, 3, 2.0, 500),
    acceptedAtMs = 0,
)
