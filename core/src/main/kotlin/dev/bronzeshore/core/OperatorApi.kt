/** Requests and answers of the operator port. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** Asks for the two lists to be put in force; [expectedVersion] null means "whatever is in force now". */
@Serializable
public data class ApplyRequest(
    public val expectedVersion: Long? = null,
    public val plans: List<Plan>,
    public val allowances: List<Allowance>,
    public val operator: String,
    public val dryRun: Boolean = false,
)

/**
 * The version in force after the call and what changed.
 *
 * [applied] is false for a dry run and when the wanted content was already in force.
 */
@Serializable
public data class ApplyAnswer(
    public val version: Long,
    public val changes: List<String> = emptyList(),
    public val applied: Boolean,
)

/** Marks a VM. */
@Serializable
public data class MarkRequest(public val mark: VmMark, public val operator: String)

/** A VM with everything that decides whether it is given work. */
@Serializable
public data class VmStatus(
    public val vm: Vm,
    public val mark: VmMark? = null,
    public val quarantinedUntilMs: Long? = null,
    public val accepting: Boolean,
)

/** A data centre that the answering process owns. */
@Serializable
public data class OwnedDataCentre(public val dataCentre: String, public val term: Long, public val actUntilMs: Long)

/** The state of the answering process. */
@Serializable
public data class ProcessStatus(
    public val processId: String,
    public val dataCentre: String,
    public val configurationVersion: Long,
    public val owned: List<OwnedDataCentre> = emptyList(),
    public val members: List<String> = emptyList(),
    public val ready: Boolean,
)

/** Where a part of a job runs. */
@Serializable
public data class PartLocation(public val part: Int, public val workerId: String, public val startedAtMs: Long)

/** A job with what it waits for and where its parts run. */
@Serializable
public data class JobView(
    public val record: JobRecord,
    public val waitReason: String? = null,
    public val running: List<PartLocation> = emptyList(),
)

/** Why a job is in its present state. */
@Serializable
public data class JobExplanation(public val jobId: String, public val reason: String)
