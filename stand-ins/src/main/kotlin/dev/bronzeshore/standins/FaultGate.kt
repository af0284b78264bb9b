/** Applies the faults of one server to its calls. */
package dev.bronzeshore.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlin.random.Random

/** Holds the [Faults] in force; may be used from any thread. */
internal class FaultGate {
    private val state = MutableStateFlow(Faults())
    private var writes = 0L
    private var random = Random(state.value.dropSeed)

    val faults: Faults
        get() = state.value

    /** Replaces the faults and starts the count and the random sequence of dropped answers again. */
    @Synchronized
    fun replace(faults: Faults) {
        writes = 0
        random = Random(faults.dropSeed)
        state.value = faults
    }

    /** Holds a call back as long as the faults say, and returns how the server treats it then. */
    suspend fun enter(): DownMode {
        state.first { !it.paused }
        delay(faults.delayMs)
        return faults.down
    }

    /** Counts a write that took effect and says whether its answer is dropped. */
    @Synchronized
    fun dropsAnswer(): Boolean {
        writes++
        val every = faults.dropAnswerEvery
        val isNth = every > 0 && writes % every == 0L
        val isInShare = faults.dropAnswerShare > 0 && random.nextDouble() < faults.dropAnswerShare
        return isNth || isInShare
    }
}
