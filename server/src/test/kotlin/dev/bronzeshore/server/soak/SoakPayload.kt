/** What the tasks of a job do. It is the job's payload, from which the workers read it; the product does not. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

private const val MEMORY_MIB = 256

/** Each run fails after [failsAfterMs] by the task's own fault, unless that is 0. */
@Serializable
internal data class SoakStep(
    val replicas: Int,
    val millicores: Int,
    val workMs: Long,
    val failsAfterMs: Long = 0,
    val after: Int? = null,
    val isGang: Boolean = false,
    val isCheckpointable: Boolean = false,
    val label: String = "",
    val maxPerWorker: Int = 0,
    val dataRack: String = "",
    /** What the submission says of [workMs]; 0 stands for the same. */
    val estimateMs: Long = 0,
)

@Serializable
internal data class SoakPayload(
    val steps: List<SoakStep>,
    val occurrences: Int = 0,
    val startWallMs: Long = 0,
    val periodMs: Long = 0,
    val isAdvised: Boolean = false,
    /** The workers cannot hold a gang of the job, so that it never ends. */
    val isHopeless: Boolean = false,
) {
    val mayFail: Boolean get() = steps.any { it.failsAfterMs > 0 }

    /** Names of the tasks of [step] in one occurrence of the job. */
    fun tasksOf(job: String, occurrence: Int, step: Int): List<String> =
        List(steps[step].replicas) { "$job.$occurrence.$step.$it" }

    /** The submission of the job. */
    fun body(): String = buildJsonObject {
        put("spec", Json.encodeToString(this@SoakPayload))
        if (occurrences > 0) {
            put("repeat_count", occurrences)
            put("start_ms", startWallMs)
            put("period_ms", periodMs)
        }
        putJsonArray("phases") { steps.forEach { step -> addJsonObject { putStep(step) } } }
    }.toString()

    private fun JsonObjectBuilder.putStep(step: SoakStep) {
        put("replicas", step.replicas)
        put("cpu", step.millicores)
        put("mem_mb", MEMORY_MIB)
        put("estimate_ms", if (step.estimateMs > 0) step.estimateMs else step.workMs)
        step.after?.let { earlier -> putJsonArray("after") { add(earlier) } }
        if (step.isGang) put("gang", true)
        if (step.isCheckpointable) put("checkpointable", true)
        if (step.label.isNotEmpty()) put("constraints", step.label)
        if (step.maxPerWorker > 0) put("anti_affinity", step.maxPerWorker)
        if (step.dataRack.isNotEmpty()) put("data_rack", step.dataRack)
    }

    companion object {
        fun parse(text: String): SoakPayload = Json.decodeFromString(text)
    }
}
