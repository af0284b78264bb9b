/** Age of the proof that the configuration is the newest one, on clocks that stand still or jump. */
package dev.bronzeshore.accounts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

private const val BOUND_MS = 5_000L

class ConfigProofTest {
    private var monotonicMs = 100_000L
    private var wallClockMs = 1_000_000L
    private val proof = ConfigProof({ monotonicMs }, { wallClockMs }, BOUND_MS)

    private fun pass(monotonic: Long, wall: Long) {
        monotonicMs += monotonic
        wallClockMs += wall
    }

    /**
     * Guards against a process that serves a withdrawn key after it was suspended, paused or cut off: the monotonic
     * clock does not count a suspension, and the time of day may be set back.
     */
    @ParameterizedTest(name = "monotonic +{0} ms, wall clock +{1} ms: recent {2}")
    @CsvSource(
        "1000, 1000, true",
        "3000, 3000, true",
        "3001, 3001, false",
        // Suspended for six seconds.
        "100, 6100, false",
        // The time of day is set back by two seconds.
        "3500, 1500, false",
        "2000, 0, true",
        // Suspended for five seconds while the time of day is set back by two.
        "100, 3100, false",
    )
    fun `a proof expires by either clock`(monotonic: Long, wall: Long, isRecent: Boolean) {
        proof.record(proof.now())
        pass(monotonic, wall)
        assertEquals(isRecent, proof.isRecent)
    }

    /** Guards against a proof that counts from the response of a read instead of from its request. */
    @Test
    fun `a proof is as old as its request, and a peer's as old as the peer says`() {
        val sentAt = proof.now()
        pass(2_000, 2_000)
        proof.record(sentAt, ageMs = 500)
        assertEquals(2_500, proof.ageMs)
    }

    /** Guards against an older proof from a peer that replaces a newer one. */
    @Test
    fun `an older proof changes nothing`() {
        proof.record(proof.now())
        proof.record(proof.now(), ageMs = 2_000)
        assertEquals(0, proof.ageMs)
    }

    /** Guards against a process that serves keys from a peer's configuration before any proof. */
    @Test
    fun `without a proof nothing is recent, without a bound everything is`() {
        assertNull(proof.ageMs)
        assertFalse(proof.isRecent)
        assertTrue(ConfigProof({ 0 }, { 0 }, withdrawalBoundMs = null).isRecent)
    }
}
