/** Queued jobs ordered by their latest start. */
package dev.bronzeshore.placement

import java.util.TreeSet

internal class StartDeadlines {
    private val byTime: TreeSet<JobEntry> =
        TreeSet(compareBy<JobEntry> { it.item.startBeforeMs ?: Long.MAX_VALUE }.thenBy { it.sequence })

    fun add(job: JobEntry) {
        if (job.item.startBeforeMs != null) byTime.add(job)
    }

    fun remove(job: JobEntry) {
        if (job.item.startBeforeMs != null) byTime.remove(job)
    }

    /** Removes and returns a job whose latest start is before [nowMs], or null. */
    fun pollExpired(nowMs: Long): JobEntry? {
        val first = if (byTime.isEmpty()) return null else byTime.first()
        return if ((first.item.startBeforeMs ?: Long.MAX_VALUE) < nowMs) byTime.pollFirst() else null
    }
}
