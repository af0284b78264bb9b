/**
 * Tells which client accounts use more than their share of the workers.
 *
 * The load it answers: workers that are full because one account submits many times its usual. Shares go by weight
 * among the accounts that have work; what an account leaves unused is lent to the others, and comes back as their tasks
 * end, because accounts above their share are placed after those below it.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.ClientAccounts

internal class AccountShares(
    private val accounts: ClientAccounts,
    private val usage: AccountUsage,
    private val capacity: Resources,
    waitingAccounts: Set<String>,
) {
    private val activeWeight = (waitingAccounts + usage.accounts).sumOf { accounts.named(it)?.weight ?: 0.0 }
    private val isOver = HashMap<String, Boolean>()

    /** True if [account] uses more than its share of the scarcest resource. */
    fun isOverShare(account: String): Boolean = isOver.getOrPut(account) {
        val weight = accounts.named(account)?.weight ?: return@getOrPut false
        usage.of(account).dominantShareOf(capacity) * activeWeight > weight
    }
}

/** Largest part of [capacity] that this amount takes in any dimension. */
private fun Resources.dominantShareOf(capacity: Resources): Double = maxOf(
    part(processorsMillicores, capacity.processorsMillicores),
    part(memoryBytes, capacity.memoryBytes),
    part(accelerators, capacity.accelerators),
)

private fun part(used: Long, whole: Long): Double = if (whole <= 0) 0.0 else used.toDouble() / whole
