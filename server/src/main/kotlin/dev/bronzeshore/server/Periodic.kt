/** Periodic tasks on the control thread. */
package dev.bronzeshore.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Runs [work] again [periodMs] after its previous run ended, until the scope is cancelled. */
internal fun CoroutineScope.repeatEvery(periodMs: Long, work: suspend () -> Unit): Job = launch {
    while (true) {
        work()
        delay(periodMs)
    }
}
