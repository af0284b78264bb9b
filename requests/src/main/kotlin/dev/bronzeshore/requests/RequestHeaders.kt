/** Headers that end at this hop. */
package dev.bronzeshore.requests

/** Headers that concern one connection only, by RFC 9110 section 7.6.1. */
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

/** Set by the client for the endpoint's connection: the length is passed on beside the headers. */
private val SET_BY_PROXY = setOf("content-length", "host", "expect")

/** Headers that are passed on: neither hop-by-hop ones nor those that `Connection` names. */
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

/** False if a part of the request would break out of its line in the head that is sent. */
internal fun IncomingRequest.isWellFormed(): Boolean = method.isNotEmpty() &&
    method.all { it.isLetter() || it == '-' } &&
    pathAndQuery.startsWith('/') &&
    pathAndQuery.none { it <= ' ' || it == DELETE_CHARACTER } &&
    headers.all { line -> line.name.isNotEmpty() && line.name.none { it <= ' ' || it == ':' } && line.isSingleLine() } &&
    (contentLength == null || contentLength >= 0)

private const val DELETE_CHARACTER = '\u007f'

private fun HeaderLine.isSingleLine(): Boolean = value.none { it == '\r' || it == '\n' || it == '\u0000' }
