/** Line numbers of the fields in a JSON text with comments, and the keys that appear twice. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.StrictJson

/** A key that an object holds more than once. */
internal data class DuplicateKey(val path: String, val line: Int)

/**
 * Finds the line of each field of a text that [StrictJson] has already accepted.
 *
 * The JSON parser drops positions and keeps only the last of two equal keys, so this scan finds both. On text that it
 * cannot follow it stops, and later fields get the line of their nearest known parent.
 */
internal class LineIndex(private val text: String) {
    private val lines = HashMap<String, Int>()
    private val found = ArrayList<DuplicateKey>()
    private var at = 0
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
        skipBlanks()
        lines[path] = line
        when (peek()) {
            '{' -> scanObject(path)
            '[' -> scanArray(path)
            '"' -> scanString()
            else -> scanLiteral()
        }
        skipBlanks()
    }

    private fun scanObject(path: String) {
        val keys = HashSet<String>()
        next()
        skipBlanks()
        while (peek() == '"') {
            val keyLine = line
            val key = decodeString(scanString())
            val child = childPath(path, key)
            if (!keys.add(key)) {
                found += DuplicateKey(child, keyLine)
            }
            skipBlanks()
            next()
            scanValue(child)
            skipComma()
        }
        next()
    }

    private fun scanArray(path: String) {
        var index = 0
        next()
        skipBlanks()
        while (at < text.length && peek() != ']') {
            val start = at
            scanValue("$path[$index]")
            skipComma()
            if (at == start) {
                return
            }
            index++
        }
        next()
    }

    private fun scanString(): String {
        val start = at
        next()
        while (at < text.length && peek() != '"') {
            if (peek() == '\\') {
                next()
            }
            next()
        }
        next()
        return text.substring(start, at)
    }

    private fun scanLiteral() {
        while (at < text.length && !peek().isWhitespace() && peek() !in STRUCTURE) {
            next()
        }
    }

    private fun skipComma() {
        if (peek() == ',') {
            next()
        }
        skipBlanks()
    }

    private fun skipBlanks() {
        while (at < text.length) {
            when {
                peek().isWhitespace() -> next()
                text.startsWith("//", at) -> skipTo("\n")
                text.startsWith("/*", at) -> skipTo("*/")
                else -> return
            }
        }
    }

    private fun skipTo(end: String) {
        val stop = text.indexOf(end, at + 2).let { if (it < 0) text.length else it + end.length }
        while (at < stop) {
            next()
        }
    }

    private fun peek(): Char = if (at < text.length) text[at] else END

    private fun next() {
        if (peek() == '\n') {
            line++
        }
        if (at < text.length) {
            at++
        }
    }

    private fun decodeString(raw: String): String =
        runCatching { StrictJson.decodeFromString<String>(raw) }.getOrDefault(raw.trim('"'))

    companion object {
        private const val STRUCTURE = ",:[]{}\""
        private const val END = '\u0000'

        /** Line of the character at [offset]. */
        fun lineAt(text: String, offset: Int): Int = 1 + text.take(offset).count { it == '\n' }
    }
}

/** Path of the field [key] of the object at [path]. */
internal fun childPath(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"
