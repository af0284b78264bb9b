/** Runs a leader on virtual time and holds all its work while it is frozen, as when its process is suspended. */
@file:OptIn(InternalCoroutinesApi::class)

package dev.bronzeshore.server.cluster

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext

/** Timers expire while it is frozen; what they wake runs when it continues. */
internal class FreezableDispatcher(private val delegate: CoroutineDispatcher) :
    CoroutineDispatcher(),
    Delay by delegate as Delay {
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()

    var isFrozen: Boolean = false
        set(value) {
            field = value
            while (!value && held.isNotEmpty()) held.removeFirst().let { (context, work) -> dispatch(context, work) }
        }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (isFrozen) held.addLast(context to block) else delegate.dispatch(context, block)
    }
}
