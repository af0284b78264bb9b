/** What a soak runs; system properties change it for runs by hand. */
package dev.bronzeshore.server.soak

private const val MS_PER_SECOND = 1_000L

/** Kinds of the short run in the build: each has once made a task run twice, or is part of such a series. */
private val KINDS_IN_BUILD = listOf(
    SoakFaultKind.DRAIN_CUT_LEADER_KILL,
    SoakFaultKind.DRAIN_CUT_FROM_STORE,
    SoakFaultKind.WORKER_RESTART,
    SoakFaultKind.LEADER_KILL,
    SoakFaultKind.DATA_CENTRE_CUT,
)

internal data class SoakOptions(
    val seed: Long,
    val kinds: List<SoakFaultKind>,
    val faultsMs: Long,
    val jobsPerSecond: Int,
    val processCount: Int,
    val workerCount: Int,
    /** Jobs of the kinds that booking sites have, in place of the plain ones. */
    val hasSiteJobs: Boolean,
) {
    /** True if machines are suspended; a process that only lacks processor time must not count as suspended. */
    val isSuspending: Boolean
        get() = kinds.any { it in SUSPENSIONS || it == SoakFaultKind.DATA_CENTRE_CUT_SUSPENSION }

    /** True if groups of machines are cut off or the store is down for long; some tasks outlive that. */
    val isCutting: Boolean get() = kinds.any { it >= SoakFaultKind.DATA_CENTRE_CUT }

    companion object {
        private val SUSPENSIONS = SoakFaultKind.SUSPENDED_ENTRIES_EXPIRE..SoakFaultKind.SUSPENDED_IN_TURN

        /**
         * `soak.kinds` names kinds or is `all`; faults last `soak.seconds`, and `soak.rate` jobs come a second, on
         * `soak.workers` workers and `soak.processes` processes; `soak.jobs=sites` submits the jobs of booking sites.
         */
        fun ofProperties(seed: Long): SoakOptions = SoakOptions(
            seed,
            kindsOf(System.getProperty("soak.kinds")),
            System.getProperty("soak.seconds", "35").toLong() * MS_PER_SECOND,
            System.getProperty("soak.rate", "26").toInt(),
            System.getProperty("soak.processes", "6").toInt(),
            System.getProperty("soak.workers", "18").toInt(),
            System.getProperty("soak.jobs") == "sites",
        )

        private fun kindsOf(text: String?): List<SoakFaultKind> = when (text) {
            null -> KINDS_IN_BUILD
            "all" -> SoakFaultKind.entries
            else -> text.split(',').map { SoakFaultKind.valueOf(it) }
        }
    }
}
