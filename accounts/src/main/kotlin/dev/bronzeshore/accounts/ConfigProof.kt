/**
 * Tells since when the configuration of this process is known to be the newest one.
 *
 * A proof is the time at which a read was sent whose response is applied: no version that was confirmed earlier is
 * missing. Its age is the larger one of two clocks' differences: the monotonic clock stands still while the machine is
 * suspended, and the time of day may be set back.
 */
package dev.bronzeshore.accounts

import dev.bronzeshore.core.ClockMs

/**
 * Part of the bound for withdrawn keys for which a proof holds. The rest covers a time of day that is set back by two
 * seconds during a suspension, and clocks that run at different rates.
 */
private const val PROOF_SHARE_OF_BOUND = 0.6

/** Readings of both clocks at one moment. */
public data class ProofTime(public val monotonicMs: Long, public val wallClockMs: Long)

/** Thread-safe. */
public class ConfigProof(
    private val clock: ClockMs,
    private val wallClock: ClockMs,
    /** Time after its withdrawal from which a key must not be served; null if the deployment sets none. */
    withdrawalBoundMs: Long?,
) {
    private val maxAgeMs = withdrawalBoundMs?.let { (it * PROOF_SHARE_OF_BOUND).toLong() }

    @Volatile
    private var provenAt: ProofTime? = null

    /** The current time, to be taken before a read is sent. */
    public fun now(): ProofTime = ProofTime(clock(), wallClock())

    /** Records that the configuration was the newest one [ageMs] before [time]; an older proof changes nothing. */
    public fun record(time: ProofTime, ageMs: Long = 0) {
        val proof = ProofTime(time.monotonicMs - ageMs, time.wallClockMs - ageMs)
        val known = provenAt
        if (known == null || ageOf(proof) < ageOf(known)) provenAt = proof
    }

    /** Age of the newest proof, or null if there is none. */
    public val ageMs: Long? get() = provenAt?.let { ageOf(it) }

    /** True if a key that the configuration lists may be served now. */
    public val isRecent: Boolean get() = maxAgeMs == null || (ageMs ?: Long.MAX_VALUE) <= maxAgeMs

    private fun ageOf(proof: ProofTime): Long {
        val now = now()
        return maxOf(now.monotonicMs - proof.monotonicMs, now.wallClockMs - proof.wallClockMs)
    }
}
