/**
 * Runs the work of the terms that this process holds: the work of a held term runs once, and never beside another one.
 *
 * Gaining and losing a term only notes which term is held, without a suspension, so no caller can be interleaved or
 * cancelled in between. One coroutine follows what is noted: it waits for the end of the former work, and then starts
 * that of the term that is held by then. Confined to the control thread, except for [running].
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.leadership.LeaderTerm
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.launch

internal class TermSupervisor<R : Any>(
    scope: CoroutineScope,
    private val create: (LeaderTerm) -> R,
    /** The work of a term, which ends only by cancellation. */
    private val run: suspend (R) -> Unit,
    /** Called when the work has ended by itself or could not start; the term is to be released. */
    private val onFailed: (LeaderTerm, Exception) -> Unit,
) {
    private class Work<R>(val term: LeaderTerm, val runner: R)

    private val held = MutableStateFlow<LeaderTerm?>(null)

    @Volatile
    private var work: Work<R>? = null

    /** The work of the term that is held; null if there is none, or while that of a former term still ends. */
    val running: R? get() = work?.takeIf { it.term == held.value }?.runner

    init {
        scope.launch { held.collectLatest { runTerm(it) } }
    }

    /** Notes that [term] is held. */
    fun start(term: LeaderTerm) {
        held.value = term
    }

    /** Notes that [term] is not held any more; a later one stays. */
    fun end(term: LeaderTerm) {
        held.compareAndSet(term, null)
    }

    private suspend fun runTerm(term: LeaderTerm?) {
        // The term may have been lost while the former work ended.
        if (term == null || term != held.value) return
        try {
            val runner = create(term)
            work = Work(term, runner)
            run(runner)
            error("the work of a term has ended by itself")
        } catch (failure: CancellationException) {
            currentCoroutineContext().ensureActive()
            onFailed(term, failure)
        } catch (failure: Exception) {
            onFailed(term, failure)
        } finally {
            work = null
        }
    }
}
