/** Compares the voters of the lease model with [VoterSet], which they mirror, after all short sequences of calls. */
package dev.bronzeshore.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

private const val PROCESSES = 3
private const val CALLS = 4
private val MASKS = listOf(0b001, 0b110, 0b111)
private val VERSIONS = listOf(1L, 2L)

class VoterModelTest {
    private class Call(val name: String, val real: VoterSet.() -> Unit, val mirrored: VoterModel.(LeaseState) -> Unit)

    private val calls = MASKS.flatMap { mask ->
        val voters = Electorate(namesOf(mask))
        val observed = (VERSIONS + null).map { version ->
            Call("observe $mask $version", { observe(voters, version) }) { observe(it, 0, mask, version?.toInt() ?: 0) }
        }
        val proposed = VERSIONS.map { version ->
            Call("propose $mask $version", { propose(voters, version) }) { propose(it, 0, version.toInt(), mask) }
        }
        observed + proposed + Call("withdraw $mask", { withdraw(voters) }) { withdraw(it, 0, mask) }
    }

    // Guards against a search whose voters are not those of the code.
    @Test
    fun `the model counts majorities as the code does`() {
        var compared = 0
        for (sequence in sequencesOf(CALLS)) {
            // The model has room for two open writes.
            if (sequence.count { it.name.startsWith("propose") } > 2) continue
            compare(sequence)
            compared++
        }
        println("compared after $compared sequences of calls")
    }

    private fun compare(sequence: List<Call>) {
        val real = VoterSet()
        val model = VoterModel(LeaseScope(PROCESSES, lastTerm = 1), removed = null)
        val state = LeaseState(PROCESSES)
        for (call in sequence) {
            call.real(real)
            call.mirrored(model, state)
        }
        for (names in 0 until (1 shl PROCESSES)) {
            state[0, Own.GRANTED] = names
            assertEquals(real.isMajority(namesOf(names)), model.isMajority(state, 0)) {
                "${sequence.map { it.name }}, votes of $names"
            }
        }
    }

    private fun sequencesOf(length: Int): Sequence<List<Call>> = if (length == 0) {
        sequenceOf(emptyList())
    } else {
        sequencesOf(length - 1).flatMap { known -> calls.map { known + it } }
    }

    private fun namesOf(mask: Int): Set<String> =
        (0 until PROCESSES).filter { mask and (1 shl it) != 0 }.map { "$it" }.toSet()
}
