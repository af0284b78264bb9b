/** Handling of the reload signal. */
package dev.bronzeshore.server.cluster

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val WAIT_SECONDS = 10L

class ReloadSignalTest {
    /** Guards against a process that shuts down on a reload signal, as in incident inc-3f82. */
    @Test
    fun `a reload signal does not shut down the process`() {
        val reloaded = CountDownLatch(1)
        onReloadSignal { reloaded.countDown() }
        Signal.raise(Signal("HUP"))
        assertTrue(reloaded.await(WAIT_SECONDS, TimeUnit.SECONDS))
    }
}
