/** A request to a stand-in and its answer. */
package dev.bronzeshore.server.soak

import java.net.URLDecoder

internal class SoakRequest(
    val method: String,
    target: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val connection: SoakConnection,
) {
    val path: String = target.substringBefore('?')
    val query: Map<String, String> = target.substringAfter('?', "").split('&').filter { it.contains('=') }
        .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }
}

internal class SoakReply(val status: Int, val body: String = "")
