/** Which processes are a majority while the stored voters change. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.WorkerIncarnation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private val OLD = votersOf("abc")
private val NEW = votersOf("cde")

private fun votersOf(names: String) = Electorate(names.map { "$it" }.toSet())

class VoterSetTest {
    internal data class Case(
        val name: String,
        val votes: String,
        val isMajority: Boolean,
        val act: VoterSet.() -> Unit,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `guards against a majority of voters that are not the stored ones`(case: Case) {
        val voters = VoterSet()
        case.act(voters)
        assertEquals(case.isMajority, voters.isMajority(case.votes.map { "$it" }.toSet()))
    }

    /** Guards against a leader that goes on without a majority of the workers of a set that may be stored. */
    @Test
    fun `workers have to be a majority of each set that may be stored`() {
        val voters = VoterSet()
        assertTrue(voters.isMajorityOfWorkers(emptySet()))
        voters.observe(votersOf("abc").copy(workers = workersOf("xyz")), 1)
        assertTrue(voters.isMajorityOfWorkers(workersOf("xy")))
        assertFalse(voters.isMajorityOfWorkers(workersOf("x")))
        voters.propose(votersOf("abc").copy(workers = workersOf("uvz")), 1)
        assertFalse(voters.isMajorityOfWorkers(workersOf("xyu")))
        assertTrue(voters.isMajorityOfWorkers(workersOf("xzu")))
    }

    companion object {
        private fun workersOf(names: String) = names.mapTo(HashSet()) { WorkerIncarnation("$it", startedAtMs = 1) }

        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("none are known", "abc", isMajority = false) {},
            Case("none are stored", "abc", isMajority = false) { observe(null, 0) },
            Case("two of three", "ab", isMajority = true) { observe(OLD, 1) },
            Case("half of four", "ab", isMajority = false) { observe(votersOf("abcd"), 1) },
            Case("others", "ade", isMajority = false) { observe(OLD, 1) },
            Case("a majority of the old ones while a change is open", "ab", isMajority = false) {
                observe(OLD, 1)
                propose(NEW, 1)
            },
            Case("a majority of both while a change is open", "acd", isMajority = true) {
                observe(OLD, 1)
                propose(NEW, 1)
            },
            Case("the change was refused", "ab", isMajority = true) {
                observe(OLD, 1)
                propose(NEW, 1)
                withdraw(NEW)
            },
            Case("the change was applied", "de", isMajority = true) {
                observe(OLD, 1)
                propose(NEW, 1)
                observe(NEW, null)
            },
            Case("an open change is found under another version", "ab", isMajority = true) {
                observe(OLD, 1)
                propose(NEW, 1)
                observe(OLD, 2)
            },
            Case("an open change may still apply", "ab", isMajority = false) {
                observe(OLD, 1)
                propose(NEW, 1)
                observe(OLD, 1)
            },
            Case("a second change while the first one is open", "cde", isMajority = false) {
                observe(OLD, 1)
                propose(NEW, 1)
                propose(votersOf("x"), 1)
            },
            Case("a repeated change is refused while the first one is open", "ab", isMajority = false) {
                observe(OLD, 1)
                propose(NEW, 1)
                observe(OLD, 1)
                propose(NEW, 1)
                withdraw(NEW)
            },
        )
    }
}
