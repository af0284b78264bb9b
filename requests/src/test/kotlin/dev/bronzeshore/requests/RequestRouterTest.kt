package dev.bronzeshore.requests

import arrow.core.Either
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WorkKind
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.toByteArray
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

class RequestRouterTest {
    private val opened = ArrayList<AutoCloseable>()
    private val proxy = RequestProxy(Dispatchers.Default, System::currentTimeMillis).also { opened += it }
    private val plan = Plan("solvgaard", "", listOf(WorkKind("stockCheck", Policy.INTERACTIVE, 1, "stock")))
    private val slotShortages = AtomicInteger()
    private var nowMs: () -> Long = System::currentTimeMillis
    private val router =
        RequestRouter(
            Dispatchers.Default.limitedParallelism(1),
            { nowMs() },
            proxy,
            Random(1),
            onSlotShortage = { slotShortages.incrementAndGet() },
        )

    @AfterEach
    fun close() = opened.forEach { it.close() }

    private fun endpoint(serve: (TestExchange) -> Unit) = TestEndpoint(serve).also { opened += it }

    private suspend fun grant(vararg addresses: String, slots: Int = 8, id: Long = 1) {
        val list = addresses.map { SlotAllotment(it, it, "stock", "solvgaard", slots, Long.MAX_VALUE / 2) }
        router.configure(listOf(plan))
        router.apply("dc1", Allotments(list, id))
    }

    private fun request(
        body: String = "",
        idempotent: Boolean = false,
        startBeforeMs: Long? = null,
        path: String = "/",
    ) = IncomingRequest(
        "solvgaard", "stockCheck", "stock", if (body.isEmpty()) "GET" else "POST", path, emptyList(),
        ByteReadChannel(body), body.length.toLong(), idempotent, startBeforeMs,
    )

    private suspend fun route(request: IncomingRequest, response: StringBuilder = StringBuilder()) =
        withTimeout(30_000) {
            router.route(request) { _, writeBody ->
                val channel = ByteChannel()
                coroutineScope {
                    launch { response.append(String(channel.toByteArray())) }
                    try {
                        writeBody(channel)
                    } finally {
                        channel.flushAndClose()
                    }
                }
            }
        }

    private fun Either<Fault, RouteReport>.code() = fold({ it.code }, { ResultCode.OK })

    private suspend fun inUse() = router.demand().sumOf { it.inUse }

    private fun test(block: suspend () -> Unit) = runBlocking(Dispatchers.Default) { block() }

    @Test
    fun `guards against a request that fails although another endpoint could handle it`() = test {
        val alive = endpoint { it.respond("ok") }
        grant(closedAddress(), alive.address)
        val report = route(request("abc")).getOrNull()
        assertEquals(alive.address, report?.endpointId)
        assertEquals(2, report?.attempts)
        assertEquals(0, inUse())
    }

    @Test
    fun `guards against unreachable endpoints that are reported as outcome unknown`() = test {
        grant(closedAddress(), closedAddress())
        assertEquals(ResultCode.NO_ENDPOINT, route(request()).code())
    }

    @Test
    fun `guards against a second run of a request that may have run`() = test {
        val endpoint = endpoint { it.readBody() }
        grant(endpoint.address)
        val large = "x".repeat(REPLAY_LIMIT_BYTES + 1)
        val cases = listOf(request(), request("abc"), request(large), request(large, idempotent = true))
        for (case in cases) {
            endpoint.requestLines.clear()
            assertEquals(ResultCode.OUTCOME_UNKNOWN, route(case).code())
            assertEquals(1, endpoint.requestLines.size)
        }
    }

    @Test
    fun `guards against a retry that sends only a part of the body`() = test {
        val rounds = AtomicInteger()
        val endpoint = endpoint { exchange ->
            val body = StringBuilder()
            exchange.readBody { bytes, count -> body.append(String(bytes, 0, count)) }
            if (rounds.incrementAndGet() == 2) exchange.respond(body.toString())
        }
        grant(endpoint.address)
        val response = StringBuilder()
        val text = "abc".repeat(10_000)
        assertEquals(2, route(request(text, idempotent = true), response).getOrNull()?.attempts)
        assertEquals(text, response.toString())
    }

    @Test
    fun `guards against retries beyond the budget`() = test {
        val endpoint = endpoint { it.readBody() }
        grant(endpoint.address)
        repeat(20) { assertEquals(ResultCode.OUTCOME_UNKNOWN, route(request(idempotent = true)).code()) }
        assertEquals(23, endpoint.requestLines.size)
    }

    @Test
    fun `guards against a not-run fault after an attempt that may have run`() = test {
        val endpoint = endpoint {
            it.readBody()
            // The deadline has passed before the second attempt.
            nowMs = { System.currentTimeMillis() + 1_000_000 }
        }
        grant(endpoint.address)
        val request = request(idempotent = true, startBeforeMs = System.currentTimeMillis() + 100_000)
        assertEquals(ResultCode.OUTCOME_UNKNOWN, route(request).code())
        assertEquals(1, endpoint.requestLines.size)
    }

    @Test
    fun `guards against cancelled callers that keep their slots`() = test {
        val release = CountDownLatch(1)
        val endpoint = endpoint {
            if (it.requestLine.contains("hang")) release.await()
            it.respond("ok")
        }
        grant(endpoint.address, slots = 4)
        coroutineScope {
            val calls = (1..40).map { launch { route(request(path = "/hang")) } }
            while (inUse() < 4 || router.inFlight < 40) yield()
            calls.forEach { it.cancelAndJoin() }
        }
        assertEquals(0, inUse())
        assertEquals(0, router.inFlight)
        assertEquals(ResultCode.OK, route(request()).code())
        assertTrue(slotShortages.get() >= 1)
        release.countDown()
    }

    @Test
    fun `guards against new requests at a leaving endpoint and against aborted ones there`() = test {
        val started = CompletableDeferred<Unit>()
        val release = CountDownLatch(1)
        val leaving = endpoint {
            started.complete(Unit)
            release.await()
            it.respond("late")
        }
        val other = endpoint { it.respond("ok") }
        grant(leaving.address)
        coroutineScope {
            val early = async { route(request()) }
            started.await()
            grant(leaving.address, other.address, id = 2)
            router.setLeaving(setOf(leaving.address))
            repeat(20) { assertEquals(other.address, route(request()).getOrNull()?.endpointId) }
            release.countDown()
            assertEquals(leaving.address, early.await().getOrNull()?.endpointId)
        }
    }

    @Test
    fun `guards against a stop that aborts requests or accepts new ones`() = test {
        val release = CountDownLatch(1)
        val started = CompletableDeferred<Unit>()
        val endpoint = endpoint {
            started.complete(Unit)
            release.await()
            it.respond("ok")
        }
        grant(endpoint.address)
        coroutineScope {
            val early = async { route(request()) }
            started.await()
            router.stopAccepting()
            assertEquals(ResultCode.STOPPING, route(request()).code())
            assertEquals(1, router.awaitInFlight(nowMs()))
            release.countDown()
            assertEquals(0, router.awaitInFlight(nowMs() + 30_000))
            assertEquals(ResultCode.OK, early.await().code())
        }
    }

    @Test
    fun `guards against a waiting request that is not reported to the owner`() = test {
        val endpoint = endpoint { it.respond("ok") }
        val allocator = SlotAllocator("dc1", { nowMs() }, { Long.MAX_VALUE })
        allocator.setEndpoints(listOf(EndpointSlots("e1", endpoint.address, "stock", 8)))
        allocator.setAllowances(listOf(Allowance("solvgaard", "dc1", Resources.NONE, slots = 8)))
        router.configure(listOf(plan))
        coroutineScope {
            val call = async { route(request()) }
            while (slotShortages.get() == 0) yield()
            val allotmentRequest = router.allotmentRequest("dc1", "p1")
            assertEquals(listOf(SlotDemand("stock", "solvgaard", wanted = 1, inUse = 0)), allotmentRequest.demand)
            router.apply("dc1", allocator.allocate(allotmentRequest))
            assertEquals("e1", call.await().getOrNull()?.endpointId)
        }
        assertTrue(router.allotmentRequest("dc1", "p1").appliedGrantId > 0)
    }

    @Test
    fun `guards against refusals in a flood that wait for the control thread`() = test {
        val dispatcher = Executors.newSingleThreadExecutor().asCoroutineDispatcher().also { opened += it }
        val limits = RouterLimits(AdmissionLimits(maxWaitingPerKind = 2))
        val full = RequestRouter(dispatcher, { nowMs() }, proxy, Random(1), limits)
        full.configure(listOf(plan))
        val respond: Responder = { _, _ -> error("no response is expected") }
        coroutineScope {
            val waiting = (1..2).map { launch { full.route(request(), respond) } }
            while (full.demand().sumOf { it.wanted } < 2) yield()
            val release = CountDownLatch(1)
            launch(dispatcher) { release.await() }
            val refused = withTimeout(10_000) { full.route(request(), respond) }.leftOrNull()
            assertEquals(ResultCode.QUEUE_FULL, refused?.code)
            assertTrue((refused?.retryAtMs ?: 0) > 0)
            release.countDown()
            waiting.forEach { it.cancelAndJoin() }
            assertEquals(0, full.demand().sumOf { it.wanted })
        }
    }

    @Test
    fun `guards against header injection`() = test {
        grant(closedAddress())
        for (path in listOf("/a b", "/a\r\nX: y", "a", "/\u0000")) {
            assertEquals(ResultCode.INVALID_VALUE, route(request(path = path)).code())
        }
    }

    @Test
    fun `guards against more requests at an endpoint than slots and against mixed-up responses`() = test {
        val running = AtomicInteger()
        val maxRunning = AtomicInteger()
        val endpoint = endpoint {
            maxRunning.accumulateAndGet(running.incrementAndGet(), ::maxOf)
            it.respond(it.requestLine.split(' ')[1])
            running.decrementAndGet()
        }
        grant(endpoint.address, slots = 8)
        coroutineScope {
            val calls = (1..200).map { caller ->
                async {
                    repeat(5) { round ->
                        val response = StringBuilder()
                        val code = route(request(path = "/$caller/$round"), response).code()
                        assertEquals(ResultCode.OK, code)
                        assertEquals("/$caller/$round", response.toString())
                    }
                }
            }
            calls.awaitAll()
        }
        assertTrue(maxRunning.get() <= 8, "${maxRunning.get()} requests ran at once on 8 slots")
        assertEquals(Outcome.DONE, route(request()).code().outcome)
    }
}
