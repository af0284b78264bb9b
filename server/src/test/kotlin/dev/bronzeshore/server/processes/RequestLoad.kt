/** A constant load of non-idempotent requests. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.Outcome
import java.util.Collections
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Result of one request; [isCorrect] if the complete response to this request arrived. */
internal class RequestResult(val requestId: String, val entryId: String, val reply: HttpReply) {
    val isCorrect: Boolean get() = reply.status == HTTP_OK && reply.text == requestId

    /** True for a complete response with the content of another request. */
    val isMisrouted: Boolean get() = reply.status == HTTP_OK && reply.text != requestId
    val isReportedNotRun: Boolean get() = reply.fault?.outcome == Outcome.NOT_RUN

    override fun toString() = "$requestId through $entryId: ${reply.status} ${reply.text}"
}

/** Sends to the processes of [targets] in turn, at a fixed rate and with a limit on requests in flight. */
internal class RequestLoad(private val name: String, private val targets: () -> List<EntryProcess>) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val inFlight = Semaphore(MAX_IN_FLIGHT)
    private val sent = AtomicInteger()
    private val finished: MutableList<RequestResult> = Collections.synchronizedList(mutableListOf())

    val results: List<RequestResult> get() = synchronized(finished) { finished.toList() }

    init {
        timer.scheduleAtFixedRate(::sendNext, 0, PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    private fun sendNext() {
        val ready = targets()
        if (ready.isEmpty() || !inFlight.tryAcquire()) return
        val number = sent.getAndIncrement()
        val entry = ready[number % ready.size]
        val requestId = "$name-$number"
        entry.requestAsync(requestId).whenComplete { reply, failure ->
            finished += RequestResult(requestId, entry.id, reply ?: HttpReply(0, "$failure"))
            inFlight.release()
        }
    }

    /** Stops sending and waits until all requests have ended. */
    fun finish(): List<RequestResult> {
        close()
        awaitUntil("all requests of $name have ended", END_TIMEOUT_MS) { finished.size == sent.get() }
        return results
    }

    override fun close() {
        timer.shutdown()
        timer.awaitTermination(END_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val PERIOD_MS = 10L
        const val MAX_IN_FLIGHT = 16
        const val END_TIMEOUT_MS = 20_000L
    }
}
