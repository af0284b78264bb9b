/** Which processes are a majority while the stored voters change. */
package dev.bronzeshore.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private val OLD = setOf("a", "b", "c")
private val NEW = setOf("c", "d", "e")

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

    companion object {
        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("none are known", "abc", isMajority = false) {},
            Case("none are stored", "abc", isMajority = false) { observe(null, 0) },
            Case("two of three", "ab", isMajority = true) { observe(OLD, 1) },
            Case("half of four", "ab", isMajority = false) { observe(OLD + "d", 1) },
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
                propose(setOf("x"), 1)
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
