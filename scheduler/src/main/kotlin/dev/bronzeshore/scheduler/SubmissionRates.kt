/**
 * Tells which jobs a client account submitted beyond the rate that it may rely on.
 *
 * The load it answers: one account that sends many times its usual for seconds. Jobs beyond the rate start after all
 * others, so that this account delays itself. Submissions are counted by the wall-clock time at which a process
 * accepted them, so that the order in which a leader learns of jobs does not matter. Not thread-safe.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.ClientAccounts
import kotlin.math.ceil

/** Arrivals vary from second to second; over this time they are compared with the rate. */
private const val WINDOW_MS = 2_000L
private const val MS_PER_SECOND = 1_000.0

/** Windows that are kept; jobs are known within a few seconds of their acceptance, or after a takeover. */
private const val MAX_WINDOWS = 64

internal class SubmissionRates {
    private val windows = object : LinkedHashMap<Long, HashMap<String, Int>>() {
        override fun removeEldestEntry(eldest: Map.Entry<Long, HashMap<String, Int>>) = size > MAX_WINDOWS
    }

    /** Counts a job of [account] and tells whether it exceeds the account's rate. */
    fun exceedsRate(accounts: ClientAccounts?, account: String?, acceptedAtMs: Long): Boolean {
        val rate = account?.let { accounts?.named(it) }?.weight ?: return false
        val counts = windows.getOrPut(acceptedAtMs / WINDOW_MS) { HashMap() }
        return counts.merge(account, 1, Int::plus)!! > ceil(rate * WINDOW_MS / MS_PER_SECOND)
    }
}
