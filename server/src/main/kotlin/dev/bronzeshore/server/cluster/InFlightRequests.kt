/** Counts the callers' requests that are in flight and runs them on the control thread. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobOperations
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicInteger

internal class InFlightRequests(private val control: CoroutineDispatcher) {
    private val inFlight = AtomicInteger()
    val count: Int get() = inFlight.get()

    fun track(jobs: JobOperations) = JobOperations(
        submit = { track { jobs.submit(it) } },
        stateOf = { track { jobs.stateOf(it) } },
        cancel = { track { jobs.cancel(it) } },
        waitingJobCount = { track { jobs.waitingJobCount(it) } },
    )

    private suspend fun <T> track(work: suspend () -> T): T {
        inFlight.incrementAndGet()
        return try {
            withContext(control) { work() }
        } finally {
            inFlight.decrementAndGet()
        }
    }
}
