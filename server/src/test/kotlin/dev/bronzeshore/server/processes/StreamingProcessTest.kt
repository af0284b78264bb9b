/** Complete responses for bodies of all sizes, with real processes and small heaps. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.standins.RecordInvariantChecker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private const val CALLERS = 50
private const val MIB = 1_048_576L

/** The large bodies together are four times the heap of the process. */
private const val LARGE_CALLERS = 8
private const val LARGE_BYTES = 64 * MIB
private const val PIPELINES = 8
private const val PIPELINED_REQUESTS = 24

internal class StreamingProcessTest : ClusterTest(size = 3) {
    /** Guards against responses that are cut off or sent to another caller and against bodies buffered in memory. */
    @Test
    fun `each of 50 callers gets its own complete responses for bodies of all sizes`() {
        val startedAtMs = System.currentTimeMillis()
        val faults = inParallel(CALLERS) { caller ->
            val sizes = listOf(0L, 1L, MIB) + if (caller < LARGE_CALLERS) listOf(LARGE_BYTES) else emptyList()
            RawHttpClient(port()).use { connection ->
                sizes.flatMapIndexed { index, size -> requestsOfSize(caller, index, size) }
                    .flatMap { connection.pipeline(listOf(it)) }
            }
        }
        println("streaming: $CALLERS callers in ${System.currentTimeMillis() - startedAtMs} ms, wrong $faults")
        assertEquals(emptyList<String>(), faults, cluster::logs)
        assertProcessIsHealthy()
    }

    /** One request per framing; large bodies use one framing per caller, which halves the bytes that the test sends. */
    private fun requestsOfSize(caller: Int, index: Int, sizeBytes: Long): List<RawRequest> = listOf(false, true)
        .filter { isChunked -> sizeBytes < LARGE_BYTES || isChunked == (caller % 2 == 0) }
        .map {
            RawRequest(
                "stream-$caller-$index-$it",
                seed = caller * 100L + index * 2 + (if (it) 1 else 0),
                sizeBytes,
                it,
            )
        }

    /** Guards against responses in another order than the requests of a connection. */
    @Test
    fun `pipelined requests on one connection get complete responses in order`() {
        val sizes = listOf(0L, 1L, 1_000L, 70_000L, MIB)
        val faults = inParallel(PIPELINES) { caller ->
            val requests = List(PIPELINED_REQUESTS) {
                RawRequest("pipeline-$caller-$it", 1_000_000L + caller * 100L + it, sizes[it % sizes.size], it % 2 == 0)
            }
            RawHttpClient(port()).use { it.pipeline(requests) }
        }
        println("pipelining: $PIPELINES connections of $PIPELINED_REQUESTS requests, wrong $faults")
        assertEquals(emptyList<String>(), faults, cluster::logs)
        assertProcessIsHealthy()
    }

    /** All callers use the same process, so that its heap is loaded by all of them. */
    private fun port(): Int = cluster.entries.first().settings.callers.port

    private fun assertProcessIsHealthy() {
        val entry = cluster.entries.first()
        assertTrue(entry.child.isAlive, cluster::logs)
        assertTrue(entry.isReady(), cluster::logs)
        assertFalse(entry.child.printed().contains("OutOfMemoryError"), cluster::logs)
        val checker = RecordInvariantChecker(isIdempotentRequest = { false })
        assertEquals(emptyList<Any>(), checker.findViolations(cluster.records()), cluster::logs)
    }

    private fun inParallel(count: Int, block: (Int) -> List<String>): List<String> {
        val threads = Executors.newFixedThreadPool(count)
        return try {
            threads.invokeAll(List(count) { index -> Callable { block(index) } }).flatMap { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }
}
