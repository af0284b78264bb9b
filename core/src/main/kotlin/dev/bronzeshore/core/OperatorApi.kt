/** Requests and responses of the operator API. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** Makes the given plans and allowances active; a null [expectedVersion] accepts any current version. */
@Serializable
public data class ApplyRequest(
    public val expectedVersion: Long? = null,
    public val plans: List<Plan>,
    public val allowances: List<Allowance>,
    public val operator: String,
    public val dryRun: Boolean = false,
)

/**
 * The active version after the call and the changes made.
 *
 * [applied] is false for a dry run and when the requested content was already active.
 */
@Serializable
public data class ApplyAnswer(
    public val version: Long,
    public val changes: List<String> = emptyList(),
    public val applied: Boolean,
)

/** Sets the mark of a VM. */
@Serializable
public data class MarkRequest(public val mark: VmMark, public val operator: String)

/** A VM and the conditions that decide whether it is assigned work. */
@Serializable
public data class VmStatus(
    public val vm: Vm,
    public val mark: VmMark? = null,
    public val quarantinedUntilMs: Long? = null,
    public val accepting: Boolean,
)

/** A data centre owned by the responding process. */
@Serializable
public data class OwnedDataCentre(public val dataCentre: String, public val term: Long, public val actUntilMs: Long)

/** State of the responding process. */
@Serializable
public data class ProcessStatus(
    public val processId: String,
    public val dataCentre: String,
    public val configurationVersion: Long,
    public val owned: List<OwnedDataCentre> = emptyList(),
    public val members: List<String> = emptyList(),
    public val ready: Boolean,
)

/** The worker that runs a part of a job. */
@Serializable
public data class PartLocation(public val part: Int, public val workerId: String, public val startedAtMs: Long)

/** A job with the reason why it waits and the locations of its running parts. */
@Serializable
public data class JobView(
    public val record: JobRecord,
    public val waitReason: String? = null,
    public val running: List<PartLocation> = emptyList(),
)

/** The reason for the current state of a job. */
@Serializable
public data class JobExplanation(public val jobId: String, public val reason: String)
