/** A steady load of requests that may not run twice. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.Outcome
import java.util.Collections
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** How one request ended; [isRight] if the whole answer to this request came back. */
internal class RequestEnd(val requestId: String, val entryId: String, val reply: HttpReply) {
    val isRight: Boolean get() = reply.status == HTTP_OK && reply.text == requestId

    /** A complete answer with the content of another request. */
    val isMixedUp: Boolean get() = reply.status == HTTP_OK && reply.text != requestId
    val isToldNotRun: Boolean get() = reply.fault?.outcome == Outcome.NOT_RUN

    override fun toString() = "$requestId through $entryId: ${reply.status} ${reply.text}"
}

/** Sends to the processes that [targets] returns, in turn, at a fixed rate with a bound on requests in flight. */
internal class RequestLoad(private val name: String, private val targets: () -> List<EntryProcess>) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val inFlight = Semaphore(MAX_IN_FLIGHT)
    private val sent = AtomicInteger()
    private val finished: MutableList<RequestEnd> = Collections.synchronizedList(mutableListOf())

    val ends: List<RequestEnd> get() = synchronized(finished) { finished.toList() }

    init {
        timer.scheduleAtFixedRate(::sendNext, 0, EVERY_MS, TimeUnit.MILLISECONDS)
    }

    private fun sendNext() {
        val ready = targets()
        if (ready.isEmpty() || !inFlight.tryAcquire()) return
        val number = sent.getAndIncrement()
        val entry = ready[number % ready.size]
        val requestId = "$name-$number"
        entry.requestAsync(requestId).whenComplete { reply, failure ->
            finished += RequestEnd(requestId, entry.id, reply ?: HttpReply(0, "$failure"))
            inFlight.release()
        }
    }

    /** Stops sending and waits for the answers of all requests. */
    fun finish(): List<RequestEnd> {
        close()
        awaitUntil("all requests of $name have ended", END_TIMEOUT_MS) { finished.size == sent.get() }
        return ends
    }

    override fun close() {
        timer.shutdown()
        timer.awaitTermination(END_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val EVERY_MS = 10L
        const val MAX_IN_FLIGHT = 16
        const val END_TIMEOUT_MS = 20_000L
    }
}
