/** Compares the estimated memory for jobs with what they take. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.footprintBytes
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Enough to make what else happens in the process negligible. */
private const val ESTIMATE_BYTES = 64L shl 20

class JobFootprintTest {
    data class Case(val steps: Int, val replicas: Int, val payloadLength: Int)

    /** Guards against an estimate that is too low, so that accepted jobs do not fit in memory. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `jobs take no more memory than estimated`(case: Case) {
        val registry = JobRegistry()
        val beforeBytes = usedBytes()
        while (registry.heldBytes < ESTIMATE_BYTES) registry.addJob(registry.allJobs.size, case)
        val takenBytes = usedBytes() - beforeBytes
        assertTrue(takenBytes in 1..registry.heldBytes, "$takenBytes bytes instead of ${registry.heldBytes}")
    }

    private fun JobRegistry.addJob(number: Int, case: Case) {
        val steps = List(case.steps) { StepDescription(case.replicas, Resources(1, 1), estimateMs = 100) }
        val description = JobDescription(String(CharArray(case.payloadLength) { 'a' }), steps)
        val terms = QueueTerms("queue", "service", 0, 3, 2.0, 1_000)
        add(AcceptedJob("%016x".format(number), description, terms, 0), 0, 0, storedVersion = 1)
        check(openJobs.last().accepted.description.footprintBytes > 0)
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(steps = 1, replicas = 1, payloadLength = 0),
            Case(steps = 1, replicas = 2, payloadLength = 100),
            Case(steps = 2, replicas = 10, payloadLength = 4_000),
            Case(steps = 1, replicas = 20_000, payloadLength = 100),
            Case(steps = 200, replicas = 1, payloadLength = 100),
        )
    }
}
