package dev.bronzeshore.requests

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import org.jetbrains.lincheck.datastructures.Validate
import org.junit.jupiter.api.Test

/** Guards against a stop that misses a request which entered at the same moment, or never ends. */
class InFlightGateTest {
    private val gate = InFlightGate()

    @Operation
    fun enter(): Boolean = gate.tryEnter()

    @Operation
    fun leave(): Boolean = gate.tryLeave()

    @Operation
    fun close() = gate.close()

    @Operation
    fun isEmptyForGood(): Boolean = gate.isEmptyForGood

    @Validate
    fun `the signal agrees with the state`() = check(gate.isSignalled == gate.isEmptyForGood)

    @Test
    fun `model checking`() = ModelCheckingOptions().iterations(20).invocationsPerIteration(300).check(this::class)

    @Test
    fun stress() = StressOptions().iterations(10).invocationsPerIteration(300).check(this::class)
}
