/** The part of the lease model that grants leases to the worker, at once or by a request that arrives late. */
package dev.bronzeshore.leadership

internal class RequestModel(private val scope: LeaseScope, private val removed: Rule?) {
    /** The worker takes a lease of [term] that lasts [left] from now, unless it has seen a later term. */
    fun grant(state: LeaseState, term: Int, left: Int): LeaseState? {
        val isLonger = left > state[Shared.LEASE_LEFT] || (left > 0 && state[Shared.LEASE_TERM] < term)
        if (state[Shared.FENCE] > term || !isLonger) return null
        return state.copy().apply {
            this[Shared.LEASE_LEFT] = left
            this[Shared.LEASE_TERM] = term
            this[Shared.FENCE] = term
        }
    }

    /** The leader has read the clock for the deadline and found that it may grant; the request arrives later. */
    fun send(state: LeaseState, process: Int, step: Step) {
        if (!scope.hasLateRequests || state[Shared.REQUEST_TERM] != 0) return
        val next = state.copy()
        next[Shared.REQUEST_TERM] = state[process, Own.HELD]
        next[Shared.REQUEST_LEFT] = scope.lease
        step.to(next, "decides to grant a lease", process, -1)
    }

    fun arrive(state: LeaseState, step: Step) {
        val term = state[Shared.REQUEST_TERM]
        if (term == 0) return
        val next = grant(state, term, state[Shared.REQUEST_LEFT]) ?: return
        next.dropRequest()
        step.to(next, "the decided lease begins", -1, -1)
    }

    fun passTime(state: LeaseState) {
        if (state[Shared.REQUEST_TERM] == 0 || removed == Rule.DEADLINE_READ_BEFORE_AUTHORITY) return
        state[Shared.REQUEST_LEFT] -= 1
        if (state[Shared.REQUEST_LEFT] == 0) state.dropRequest()
    }

    private fun LeaseState.dropRequest() {
        this[Shared.REQUEST_TERM] = 0
        this[Shared.REQUEST_LEFT] = 0
    }
}
