/** Line numbers of the fields in a JSON text with comments, and its duplicate keys. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.StrictJson

/** A key that an object holds more than once. */
internal data class DuplicateKey(val path: String, val line: Int)

/**
 * Finds the line of each field of a text that [StrictJson] has already accepted.
 *
 * The JSON parser drops positions and keeps only the last of two equal keys, so this scan finds lines and duplicate
 * keys. It stops at text that it cannot parse; later fields then get the line of their nearest known parent.
 */
internal class LineIndex(private val text: String) {
    private val lines = HashMap<String, Int>()
    private val found = ArrayList<DuplicateKey>()
    private var position = 0
    private var line = 1

    /** Keys that appear more than once, in the order of the text. */
    val duplicates: List<DuplicateKey> get() = found

    init {
        scanValue("")
    }

    /** Line of the field at [path], or of its nearest parent that is in the text. */
    fun lineOf(path: String): Int {
        var candidate = path
        while (candidate.isNotEmpty()) {
            lines[candidate]?.let { return it }
            val end = maxOf(candidate.lastIndexOf('.'), candidate.lastIndexOf('['))
            candidate = candidate.take(maxOf(end, 0))
        }
        return lines[""] ?: 1
    }

    private fun scanValue(path: String) {
        skipWhitespaceAndComments()
        lines[path] = line
        when (peek()) {
            '{' -> scanObject(path)
            '[' -> scanArray(path)
            '"' -> scanString()
            else -> scanLiteral()
        }
        skipWhitespaceAndComments()
    }

    private fun scanObject(path: String) {
        val keys = HashSet<String>()
        next()
        skipWhitespaceAndComments()
        while (peek() == '"') {
            val keyLine = line
            val key = decodeString(scanString())
            val child = childPath(path, key)
            if (!keys.add(key)) {
                found += DuplicateKey(child, keyLine)
            }
            skipWhitespaceAndComments()
            next()
            scanValue(child)
            skipComma()
        }
        next()
    }

    private fun scanArray(path: String) {
        var index = 0
        next()
        skipWhitespaceAndComments()
        while (position < text.length && peek() != ']') {
            val start = position
            scanValue("$path[$index]")
            skipComma()
            if (position == start) {
                return
            }
            index++
        }
        next()
    }

    private fun scanString(): String {
        val start = position
        next()
        while (position < text.length && peek() != '"') {
            if (peek() == '\\') {
                next()
            }
            next()
        }
        next()
        return text.substring(start, position)
    }

    private fun scanLiteral() {
        while (position < text.length && !peek().isWhitespace() && peek() !in STRUCTURAL_CHARACTERS) {
            next()
        }
    }

    private fun skipComma() {
        if (peek() == ',') {
            next()
        }
        skipWhitespaceAndComments()
    }

    private fun skipWhitespaceAndComments() {
        while (position < text.length) {
            when {
                peek().isWhitespace() -> next()
                text.startsWith("//", position) -> skipTo("\n")
                text.startsWith("/*", position) -> skipTo("*/")
                else -> return
            }
        }
    }

    private fun skipTo(end: String) {
        val stop = text.indexOf(end, position + 2).let { if (it < 0) text.length else it + end.length }
        while (position < stop) {
            next()
        }
    }

    private fun peek(): Char = if (position < text.length) text[position] else END_OF_TEXT

    private fun next() {
        if (peek() == '\n') {
            line++
        }
        if (position < text.length) {
            position++
        }
    }

    private fun decodeString(raw: String): String =
        runCatching { StrictJson.decodeFromString<String>(raw) }.getOrDefault(raw.trim('"'))

    companion object {
        private const val STRUCTURAL_CHARACTERS = ",:[]{}\""
        private const val END_OF_TEXT = '\u0000'

        /** Line of the character at [offset]. */
        fun lineAt(text: String, offset: Int): Int = 1 + text.take(offset).count { it == '\n' }
    }
}

/** Path of the field [key] of the object at [path]. */
internal fun childPath(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"
