/** Applies the injected faults of one server to its calls. */
package dev.bronzeshore.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlin.random.Random

/** Holds the [Faults] in force. Thread-safe. */
internal class FaultInjector {
    private val state = MutableStateFlow(Faults())
    private var writes = 0L
    private var random = Random(state.value.dropSeed)

    val faults: Faults
        get() = state.value

    /** Replaces the faults and restarts the write count and the random sequence that select dropped responses. */
    @Synchronized
    fun replace(faults: Faults) {
        writes = 0
        random = Random(faults.dropSeed)
        state.value = faults
    }

    /** Delays a call while the server is paused and by the injected delay, then returns how the server treats it. */
    suspend fun delayCall(): DownMode {
        state.first { !it.paused }
        delay(faults.delayMs)
        return faults.down
    }

    /** Counts an applied write and returns whether its response is dropped. */
    @Synchronized
    fun shouldDropResponse(): Boolean {
        writes++
        val every = faults.dropAnswerEvery
        val isNth = every > 0 && writes % every == 0L
        val isInShare = faults.dropAnswerShare > 0 && random.nextDouble() < faults.dropAnswerShare
        return isNth || isInShare
    }
}
