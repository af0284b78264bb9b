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

/** Guards against placing work on VMs that leave, and against stopping tasks because the VM list lags behind. */
class VmViewTest {
    /** [steps] change the view; [expected] holds `id=state` of all members afterwards. */
    internal data class Case(val name: String, val expected: String, val steps: Steps.() -> Unit) {
        override fun toString() = name
    }

    internal class Steps {
        var nowMs = 1_000L
        val view = VmView({ nowMs }, unlistedRetentionMs = 100)

        fun list(vararg vms: Vm) = view.setList(vms.toList())

        fun marks(vararg marks: Pair<String, VmMark>) = view.setMarks(marks.map { MarkedVm(it.first, it.second) })

        fun advance(ms: Long) {
            nowMs += ms
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `list and marks are merged`(case: Case) {
        val steps = Steps().apply(case.steps)
        val shown = steps.view.members().map {
            "${it.vm.id}=${it.effectiveState}${it.retainedUntilMs?.let { at -> "@$at" } ?: ""}"
        }
        val undescribed = steps.view.joiningWithoutDescription().map { "$it=undescribed" }
        assertEquals(case.expected, (shown + undescribed).joinToString(" "))
    }

    internal companion object {
        private val A = worker("a")
        private val B = worker("b")

        private fun worker(id: String) = Vm(id, VmRole.WORKER, "d", "r", "h:1", capacity = Resources(1_000, 1))

        @JvmStatic
        fun cases() = listOf(
            Case("listed VMs are live", "a=LIVE b=LIVE") { list(A, B) },
            Case("the mark LEAVING overrides the list at once", "a=LEAVING b=LIVE") {
                list(A, B)
                marks("a" to VmMark.LEAVING)
            },
            Case("the mark GONE overrides the list", "a=GONE") {
                marks("a" to VmMark.GONE)
                list(A)
            },
            Case("a VM that is no longer listed is leaving until its deadline", "a=LIVE b=LEAVING@1100") {
                list(A, B)
                list(A)
                advance(50)
                list(A)
            },
            Case("a VM that is no longer listed is removed at its deadline", "a=LIVE") {
                list(A, B)
                list(A)
                advance(100)
            },
            Case("a VM that is no longer listed is retained until its task leases end", "a=LIVE b=LEAVING@1500") {
                list(A, B)
                list(A)
                view.retainUntil("b", 1_500)
                view.retainUntil("b", 1_200)
                advance(400)
            },
            Case("a VM that is marked GONE and no longer listed is removed at once", "a=LIVE") {
                list(A, B)
                marks("b" to VmMark.GONE)
                list(A)
            },
            Case("a VM that is listed again is live", "a=LIVE b=LIVE") {
                list(A, B)
                list(A)
                advance(50)
                list(A, B)
                advance(500)
            },
            Case("an empty list is ignored", "a=LIVE") {
                list(A)
                list()
            },
            Case("LEAVING in the list overrides the mark JOINING", "a=LEAVING") {
                marks("a" to VmMark.JOINING)
                list(A.copy(state = VmState.LEAVING))
            },
            Case("a joining VM without a description is not a member", "a=LIVE b=undescribed") {
                list(A)
                marks("b" to VmMark.JOINING)
            },
            Case("a joining VM with a description is live before it is listed", "a=LIVE b=LIVE") {
                list(A)
                marks("b" to VmMark.JOINING)
                view.addDescription(B)
                advance(500)
                list(A)
            },
            Case("a joining VM with an invalid description is not a member", "a=LIVE b=undescribed") {
                list(A)
                marks("b" to VmMark.JOINING)
                assertEquals(
                    "a worker needs memoryBytes above 0",
                    view.addDescription(B.copy(capacity = Resources(1, 0))),
                )
            },
            Case("a VM that is no longer listed and marked JOINING is live", "a=LIVE b=LIVE") {
                list(A, B)
                list(A)
                marks("b" to VmMark.JOINING)
                advance(500)
            },
            Case("a VM that left, is no longer listed and is marked JOINING is live", "a=LIVE b=LIVE") {
                list(A, B.copy(state = VmState.LEAVING))
                list(A)
                marks("b" to VmMark.JOINING)
            },
            Case("the mark JOINING does not retain a VM that was listed and is no longer", "a=LIVE b=undescribed") {
                marks("b" to VmMark.JOINING)
                list(A, B)
                list(A)
                advance(500)
            },
            Case("a listed VM with an invalid entry keeps its last valid description", "a=LIVE") {
                list(A)
                list(A.copy(address = ""))
                list(A.copy(capacity = Resources(-5, 1)))
            },
            Case("invalid and repeated entries are skipped, endpoints are accepted", "a=LIVE e=LIVE") {
                val endpoint = Vm("e", VmRole.ENDPOINT, "d", "r", "h:2", service = "s", slots = 8)
                list(A, A.copy(state = VmState.LEAVING), endpoint, endpoint.copy(id = "f", slots = 0), A.copy(id = ""))
            },
        )
    }
}
