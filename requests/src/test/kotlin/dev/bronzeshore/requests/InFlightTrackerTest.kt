package dev.bronzeshore.requests

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import org.jetbrains.lincheck.datastructures.Validate
import org.junit.jupiter.api.Test

/** Guards against a stop that misses a request which started concurrently, or that never completes. */
class InFlightTrackerTest {
    private val tracker = InFlightTracker()

    @Operation
    fun start(): Boolean = tracker.tryStart()

    @Operation
    fun finish(): Boolean = tracker.tryFinish()

    @Operation
    fun close() = tracker.close()

    @Operation
    fun isDrained(): Boolean = tracker.isDrained

    @Validate
    fun `the signal agrees with the state`() = check(tracker.isDrainSignalled == tracker.isDrained)

    @Test
    fun `model checking`() = ModelCheckingOptions().iterations(20).invocationsPerIteration(300).check(this::class)

    @Test
    fun stress() = StressOptions().iterations(10).invocationsPerIteration(300).check(this::class)
}
