/** Free ports below those that the system gives to outgoing connections, so that a port can be used again. */
package dev.bronzeshore.server.soak

import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

private const val FIRST_PORT = 20_000
private const val PORTS = 10_000

internal object SoakPorts {
    private val offset = AtomicInteger((ProcessHandle.current().pid() * 41 % PORTS).toInt())

    fun next(): Int = generateSequence { FIRST_PORT + offset.getAndIncrement() % PORTS }.take(PORTS)
        .first { port -> runCatching { ServerSocket(port).use { it.localPort } }.isSuccess }
}
