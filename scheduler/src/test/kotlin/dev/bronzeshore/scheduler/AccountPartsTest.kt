/** Limits, shares and rates of client accounts. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClientAccount
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.KeyDigest
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

private val TASK_SIZE = Resources(2_000, 100)

private fun accountsOf(vararg accounts: ClientAccount) =
    ClientAccounts(accounts.associateBy { KeyDigest.of("key of ${it.name}") })

private fun account(name: String, weight: Double = 1.0, limit: Resources = Resources(10_000, 1_000, UNLIMITED)) =
    ClientAccount(name, limit, weight)

private const val UNLIMITED = ClientAccount.UNLIMITED

private fun stepOf(account: String?, replicas: Int = 1): TrackedStep {
    val description = JobDescription("", listOf(StepDescription(replicas, TASK_SIZE, 1_000)))
    val job = AcceptedJob("j-$account", description, QueueTerms("q", "s", 1, 3, 2.0, 0), 0, account)
    return TrackedJob(job, 0).openSteps.first()
}

class AccountPartsTest {
    private val usage = AccountUsage()

    /** Guards against starts beyond an account's limit, in any resource, or by runs that are not known yet. */
    @ParameterizedTest(name = "used {0}, unknown {1}: {2} places")
    @CsvSource("0, 0, 5", "2000, 0, 4", "2000, 4000, 2", "9000, 0, 0", "11000, 0, 0", "0, 20000, 0")
    fun `a limit leaves places for what is not used`(used: Long, unknown: Long, places: Int) {
        usage.add("a", Resources(used, 0))
        val budget = AccountBudget(accountsOf(account("a")), usage) { Resources(unknown, 0) }
        assertEquals(places, budget.placesFor(stepOf("a")))
    }

    /** Guards against two steps of one account that both take its last places in one round. */
    @Test
    fun `steps of one round share a limit`() {
        val budget = AccountBudget(accountsOf(account("a"), account("b")), usage) { Resources.NONE }
        budget.take(stepOf("a"), 3)
        assertEquals(listOf(2, 5), listOf(budget.placesFor(stepOf("a")), budget.placesFor(stepOf("b"))))
    }

    /** Guards against limits for jobs of no account, in deployments without accounts, and on unlimited resources. */
    @Test
    fun `without a limit every task may start`() {
        val unlimited = account("a", limit = Resources(UNLIMITED, UNLIMITED, UNLIMITED))
        val cases = listOf(
            AccountBudget(null, usage) { Resources.NONE } to stepOf("a"),
            AccountBudget(accountsOf(account("a")), usage) { Resources.NONE } to stepOf(null),
        )
        assertEquals(List(2) { Int.MAX_VALUE }, cases.map { (budget, step) -> budget.placesFor(step) })
        val budget = AccountBudget(accountsOf(unlimited), usage) { Resources.NONE }
        budget.take(stepOf("a"), 1_000)
        assertEquals(true, budget.placesFor(stepOf("a")) > 1_000_000)
    }

    /** Guards against an account that keeps more than its share while others wait, and against idle lent shares. */
    @ParameterizedTest(name = "a uses {0}, b waits {1}: over its share {2}")
    @CsvSource("2500, true, false", "2600, true, true", "10000, false, false")
    fun `a share depends on who has work`(used: Long, isOtherWaiting: Boolean, isOver: Boolean) {
        usage.add("a", Resources(used, 0))
        val accounts = accountsOf(account("a", weight = 1.0), account("b", weight = 3.0))
        val waiting = if (isOtherWaiting) setOf("a", "b") else setOf("a")
        assertEquals(isOver, AccountShares(accounts, usage, Resources(10_000, 1_000), waiting).isOverShare("a"))
    }

    /** Guards against shares of a capacity that an entry only claims, so that no account is ever above its share. */
    @Test
    fun `only workers that have answered count as capacity`() {
        val pool = WorkerPool()
        val answering = pool.add(entryOf("w", Resources(16_000, 1_000)))
        pool.add(entryOf("claimed", Resources(100_000_000, 1_000)))
        assertEquals(Resources.NONE, pool.capacity)
        answering.isContacted = true
        assertEquals(Resources(16_000, 1_000), pool.capacity)
    }

    private fun entryOf(id: String, capacity: Resources) =
        WorkerEntry(WorkerIncarnation(id, 1), "s", "$id:1", "dc", false, capacity, emptySet(), null)

    /** Guards against an account that floods the queue before the submissions of others. */
    @Test
    fun `only what exceeds the rate of its account is beyond it`() {
        val rates = SubmissionRates()
        val accounts = accountsOf(account("hot", weight = 2.0), account("small", weight = 1.0))
        fun beyondOf(name: String?, count: Int, atMs: Long) =
            (1..count).count { rates.exceedsRate(accounts, name, atMs) }
        val beyond = listOf(
            beyondOf("hot", count = 10, atMs = 0),
            beyondOf("small", count = 2, atMs = 100),
            beyondOf("hot", count = 3, atMs = 2_100),
            beyondOf(null, count = 50, atMs = 2_100),
            beyondOf("unlisted", count = 50, atMs = 2_100),
        )
        assertEquals(listOf(6, 0, 0, 0, 0), beyond)
    }

    /** Guards against usage that stays behind or is counted twice when runs end, become stray or lose their worker. */
    @Test
    fun `usage follows the runs on workers`() {
        val pool = WorkerPool()
        val entry = WorkerEntry(
            WorkerIncarnation("w", 1),
            "s",
            "w:1",
            "dc",
            isDraining = false,
            capacity = Resources(16_000, 1_000),
            labels = emptySet(),
            remainingMs = null,
        )
        val worker = pool.add(entry)
        val tasks = stepOf("a", replicas = 3).tasks
        val placements = tasks.map { Placement(it, worker, TaskRun(it.name, 1), orderedAtMs = 0) }
        placements.forEach(worker::add)
        assertEquals(TASK_SIZE * 3, pool.accountUsage.of("a"))
        repeat(2) { worker.remove(placements[0]) }
        val stray = TaskRun(tasks[0].name, 2)
        repeat(2) { worker.addStray(stray, StrayRun(TASK_SIZE, "a")) }
        assertEquals(TASK_SIZE * 3, pool.accountUsage.of("a"))
        worker.remove(placements[1])
        worker.remove(placements[2])
        pool.remove(worker)
        assertEquals(Resources.NONE, pool.accountUsage.of("a"))
    }
}
