/**
 * What runs for each client account, counted from the runs that may exist on workers.
 *
 * A run counts from before its start request is sent until its end is certain. Not thread-safe.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

internal class AccountUsage {
    private val used = HashMap<String, Resources>()

    /** The amounts of [account]. */
    fun of(account: String): Resources = used[account] ?: Resources.NONE

    /** Accounts with runs. */
    val accounts: Set<String> get() = used.keys

    /** Adds a run; [account] is null for a job of no account. */
    fun add(account: String?, amount: Resources) {
        if (account != null) used[account] = of(account) + amount
    }

    fun remove(account: String?, amount: Resources) {
        if (account == null) return
        val rest = of(account) - amount
        if (rest == Resources.NONE) used.remove(account) else used[account] = rest
    }
}

/** Resources that one task of the step takes from its account's limit; idle processors that it uses count as well. */
internal val TrackedStep.accountDemand: Resources get() = description.size
