/**
 * Holds client accounts to their limits while a planning round places steps.
 *
 * The load it answers: an account that submits far more than it may run, also just after a takeover, when runs that a
 * former leader started are not known yet. Such runs count with the most that they can take, so that an account whose
 * limit is much larger goes on at once.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.ClientAccount
import dev.bronzeshore.core.cluster.ClientAccounts

internal class AccountBudget(
    /** Null if the deployment has no accounts; then nothing is limited. */
    private val accounts: ClientAccounts?,
    private val usage: AccountUsage,
    /** Most that runs of the account may take that this leader does not know yet. */
    private val unknownUsageOf: (account: String) -> Resources,
) {
    private val left = HashMap<String, Resources>()

    /** What is kept of an account's budget for starts that wait. */
    private val kept = HashMap<String, Resources>()

    /**
     * Number of tasks of the step that may start within the account's limit; with [usesKept], also within what is kept
     * for others.
     */
    fun placesFor(step: TrackedStep, usesKept: Boolean = false): Int {
        val account = accountOf(step) ?: return Int.MAX_VALUE
        val keptOfAccount = kept[account.name]?.takeUnless { usesKept } ?: Resources.NONE
        return step.accountDemand.countIn(leftOf(account) - keptOfAccount)
    }

    /** Takes [count] tasks of the step from its account's budget. */
    fun take(step: TrackedStep, count: Int) {
        val account = accountOf(step) ?: return
        left[account.name] = leftOf(account) - step.accountDemand * count
    }

    /** Keeps a part of the account's budget for [count] tasks of the step, which wait for workers. */
    fun keep(step: TrackedStep, count: Int) {
        accountOf(step)?.let { kept.merge(it.name, step.accountDemand * count, Resources::plus) }
    }

    /** True if the account's limit is too low for all [count] tasks of the step together. */
    fun isBeyondLimit(step: TrackedStep, count: Int): Boolean = countIn(step, Resources.NONE) < count

    /** True if [count] tasks of the step fit in what the account has beside the runs whose end is not known. */
    fun fitsBeside(step: TrackedStep, count: Int, endless: Resources): Boolean = countIn(step, endless) >= count

    private fun countIn(step: TrackedStep, used: Resources): Int {
        val account = accountOf(step) ?: return Int.MAX_VALUE
        return step.accountDemand.countIn(account.limit - used)
    }

    /** Keeps what is left of the account's limit from the steps that are placed later in the round. */
    fun keepAll(step: TrackedStep) {
        accountOf(step)?.let { kept[it.name] = leftOf(it) }
    }

    private fun accountOf(step: TrackedStep): ClientAccount? = step.job.accepted.account?.let { accounts?.named(it) }

    private fun leftOf(account: ClientAccount): Resources = left.getOrPut(account.name) {
        account.limit - usage.of(account.name) - unknownUsageOf(account.name)
    }
}
