package dev.bronzeshore.membership

import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.VmRole
import dev.bronzeshore.core.VmState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against work for VMs that leave, and against tasks cut off because the list lags. */
class VmViewTest {
    /** Each step may change the view; the case then expects `id=presence` of all members. */
    internal data class Case(val name: String, val expected: String, val steps: Steps.() -> Unit) {
        override fun toString() = name
    }

    internal class Steps {
        var nowMs = 1_000L
        val view = VmView({ nowMs }, keepVanishedMs = 100)

        fun list(vararg vms: Vm) = view.setList(vms.toList())

        fun marks(vararg marks: Pair<String, VmMark>) = view.setMarks(marks.map { MarkedVm(it.first, it.second) })

        fun later(ms: Long) {
            nowMs += ms
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `list and marks are merged`(case: Case) {
        val steps = Steps().apply(case.steps)
        val shown = steps.view.members().map {
            "${it.vm.id}=${it.effectiveState}${it.keptUntilMs?.let { at -> "@$at" } ?: ""}"
        }
        val awaited = steps.view.awaited().map { "$it=awaited" }
        assertEquals(case.expected, (shown + awaited).joinToString(" "))
    }

    internal companion object {
        private val A = worker("a")
        private val B = worker("b")

        private fun worker(id: String) = Vm(id, VmRole.WORKER, "d", "r", "h:1", capacity = Resources(1_000, 1))

        @JvmStatic
        fun cases() = listOf(
            Case("listed VMs are live", "a=LIVE b=LIVE") { list(A, B) },
            Case("the mark LEAVING wins over the list at once", "a=LEAVING b=LIVE") {
                list(A, B)
                marks("a" to VmMark.LEAVING)
            },
            Case("the mark GONE wins over the list", "a=GONE") {
                marks("a" to VmMark.GONE)
                list(A)
            },
            Case("a vanished VM is kept as leaving until its deadline", "a=LIVE b=LEAVING@1100") {
                list(A, B)
                list(A)
                later(50)
                list(A)
            },
            Case("a vanished VM is dropped at its deadline", "a=LIVE") {
                list(A, B)
                list(A)
                later(100)
            },
            Case("a vanished VM with leased tasks is kept longer", "a=LIVE b=LEAVING@1500") {
                list(A, B)
                list(A)
                view.keepUntil("b", 1_500)
                view.keepUntil("b", 1_200)
                later(400)
            },
            Case("a VM marked GONE that vanished is dropped at once", "a=LIVE") {
                list(A, B)
                marks("b" to VmMark.GONE)
                list(A)
            },
            Case("a VM that comes back is live", "a=LIVE b=LIVE") {
                list(A, B)
                list(A)
                later(50)
                list(A, B)
                later(500)
            },
            Case("an empty list is not believed", "a=LIVE") {
                list(A)
                list()
            },
            Case("LEAVING in the list holds against the mark JOINING", "a=LEAVING") {
                marks("a" to VmMark.JOINING)
                list(A.copy(state = VmState.LEAVING))
            },
            Case("a joining VM without a description is only awaited", "a=LIVE b=awaited") {
                list(A)
                marks("b" to VmMark.JOINING)
            },
            Case("a joining VM with a description is taken before the list shows it", "a=LIVE b=LIVE") {
                list(A)
                marks("b" to VmMark.JOINING)
                view.describe(B)
                later(500)
                list(A)
            },
            Case("a joining VM with a description in another format is not taken", "a=LIVE b=awaited") {
                list(A)
                marks("b" to VmMark.JOINING)
                assertEquals("a worker needs memoryBytes above 0", view.describe(B.copy(capacity = Resources(1, 0))))
            },
            Case("a vanished VM that is marked JOINING again is live", "a=LIVE b=LIVE") {
                list(A, B)
                list(A)
                marks("b" to VmMark.JOINING)
                later(500)
            },
            Case("a VM that left, vanished and is marked JOINING again is live", "a=LIVE b=LIVE") {
                list(A, B.copy(state = VmState.LEAVING))
                list(A)
                marks("b" to VmMark.JOINING)
            },
            Case("the mark JOINING does not hold a VM that vanished after it was listed", "a=LIVE b=awaited") {
                marks("b" to VmMark.JOINING)
                list(A, B)
                list(A)
                later(500)
            },
            Case("a listed VM with a broken entry keeps its last description", "a=LIVE") {
                list(A)
                list(A.copy(address = ""))
                list(A.copy(capacity = Resources(-5, 1)))
            },
            Case("broken, endpoint and repeated entries", "a=LIVE e=LIVE") {
                val endpoint = Vm("e", VmRole.ENDPOINT, "d", "r", "h:2", service = "s", slots = 8)
                list(A, A.copy(state = VmState.LEAVING), endpoint, endpoint.copy(id = "f", slots = 0), A.copy(id = ""))
            },
        )
    }
}
