/** Filtering and validation of headers. */
package dev.bronzeshore.requests

/** Headers that apply to a single connection, see RFC 9110 section 7.6.1. */
private val HOP_BY_HOP =
    setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )

/** Headers that the proxy sets itself; the content length is a separate field of requests and responses. */
private val SET_BY_PROXY = setOf("content-length", "host", "expect")

/** The headers to forward: without hop-by-hop headers and those named by `Connection`. */
internal fun List<HeaderLine>.endToEnd(): List<HeaderLine> {
    val connectionHeaders =
        filter { it.name.equals("Connection", ignoreCase = true) }
            .flatMap { it.value.split(',') }
            .map { it.trim().lowercase() }
            .toSet()
    return filter { line ->
        val name = line.name.lowercase()
        name !in HOP_BY_HOP && name !in SET_BY_PROXY && name !in connectionHeaders
    }
}

/** False if the method, path or a header contains characters that would allow header injection. */
internal fun IncomingRequest.isWellFormed(): Boolean = method.isNotEmpty() &&
    method.all { it.isLetter() || it == '-' } &&
    pathAndQuery.startsWith('/') &&
    pathAndQuery.none { it <= ' ' || it == DELETE_CHARACTER } &&
    headers.all { line -> line.name.isNotEmpty() && line.name.none { it <= ' ' || it == ':' } && line.isOneLine() } &&
    (contentLength == null || contentLength >= 0)

private const val DELETE_CHARACTER = '\u007f'

private fun HeaderLine.isOneLine(): Boolean = value.none { it == '\r' || it == '\n' || it == '\u0000' }
