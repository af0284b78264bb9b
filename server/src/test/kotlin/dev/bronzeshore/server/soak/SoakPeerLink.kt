/** The link from one process to another one: a port that passes connections on, unless a cut silences them. */
package dev.bronzeshore.server.soak

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

private const val BUFFER_BYTES = 16_384
private const val THREAD_STACK_BYTES = 262_144L
private const val CONNECT_TIMEOUT_MS = 1_000
private const val RECHECK_NANOS = 50_000_000L

internal class SoakPeerLink(private val targetPort: Int, private val isCut: () -> Boolean) {
    private val host = InetAddress.getByName("127.0.0.1")
    private val listener = ServerSocket()
    val port = SoakPorts.next()

    init {
        listener.bind(InetSocketAddress(host, port))
        thread(isDaemon = true, name = "link-$port") { while (true) accept() }
    }

    private fun accept() {
        val caller = listener.accept()
        start { Connection(caller).run() }
    }

    private fun start(work: () -> Unit) =
        Thread(null, work, "link-$port", THREAD_STACK_BYTES).apply { isDaemon = true }.start()

    /** Once it has lost data to a cut, it delivers nothing further in either direction. */
    private inner class Connection(private val caller: Socket) {
        private val target = Socket()

        @Volatile
        private var isSilent = false

        fun run() {
            try {
                // The target learns of a connection that begins in a cut only once the cut has ended.
                awaitEndOfCut()
                target.connect(InetSocketAddress(host, targetPort), CONNECT_TIMEOUT_MS)
            } catch (_: IOException) {
                caller.setSoLinger(true, 0)
                return caller.close()
            }
            listOf(caller, target).forEach { it.tcpNoDelay = true }
            start { pump(target, caller) }
            pump(caller, target)
        }

        private fun pump(from: Socket, to: Socket) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    if (isCut()) isSilent = true
                    if (!isSilent) to.getOutputStream().write(buffer, 0, count)
                }
            } catch (_: IOException) {
                // One of the two has closed or reset the connection.
            } finally {
                // The other side does not learn of the end either while the cut lasts.
                awaitEndOfCut()
                from.close()
                to.close()
            }
        }

        private fun awaitEndOfCut() {
            while (isCut()) LockSupport.parkNanos(RECHECK_NANOS)
        }
    }
}
