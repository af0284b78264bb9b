/** State that the workers of a soak share. */
package dev.bronzeshore.server.soak

import java.util.concurrent.ConcurrentHashMap

internal class SoakFleet(
    val store: SoakStore,
    val checker: SoakChecker,
    val advice: SoakAdvice,
    val cuts: SoakCuts,
    val log: SoakLog,
) {
    private val gangs = ConcurrentHashMap<String, SoakGang>()

    /** The gang of which run [number] of a task is a member, or null; it takes [workMs] once all members are there. */
    fun gangOf(model: SoakTaskModel, number: Long, workMs: Long): SoakGang? = if (!model.step.isGang) {
        null
    } else {
        gangs.computeIfAbsent("${model.stepName}#$number") {
            SoakGang(model.step.replicas, workMs)
        }
    }

    /** The highest fencing token that any worker has seen. */
    @Volatile
    var newestTerm = 0L
}
