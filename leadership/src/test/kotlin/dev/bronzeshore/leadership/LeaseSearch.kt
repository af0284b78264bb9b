/**
 * Breadth-first search through all states of a lease model, with the shortest history of a broken one.
 *
 * States lie one after the other in large arrays, and a hash table holds their numbers.
 */
package dev.bronzeshore.leadership

private const val STATES_PER_CHUNK = 1 shl 16

/** [history] leads to a broken state; null if none can be reached. [isWhole] is false if the limit was reached. */
internal class SearchResult(val states: Int, val depth: Int, val isWhole: Boolean, val history: List<String>?)

internal class LeaseSearch(scope: LeaseScope, removed: Rule? = null, private val maxStates: Int) {
    private val model = LeaseModel(scope, removed)
    private val stateBytes = LeaseState.sizeOf(scope.processes)
    private val chunks = ArrayList<ByteArray>()
    private var parents = IntArray(STATES_PER_CHUNK)
    private var table = IntArray(4 * STATES_PER_CHUNK)
    private var count = 0
    private var brokenState: Int? = null

    fun run(): SearchResult {
        model.firstStates().forEach { add(it, parent = -1) }
        var next = 0
        var depth = 0
        var levelEnd = count
        while (next < count && brokenState == null && count < maxStates) {
            if (next == levelEnd) {
                depth++
                levelEnd = count
            }
            val parent = next++
            model.expand(stateAt(parent)) { state, _, _, _ -> add(state, parent) }
        }
        val history = brokenState?.let { historyOf(it) }
        return SearchResult(count, depth, isWhole = history == null && next == count, history)
    }

    private fun add(state: LeaseState, parent: Int) {
        if (brokenState != null) return
        var slot = slotOf(state.bytes)
        while (table[slot] != 0) {
            if (isEqual(table[slot] - 1, state.bytes)) return
            slot = (slot + 1) and (table.size - 1)
        }
        val number = count++
        table[slot] = number + 1
        if (number % STATES_PER_CHUNK == 0) chunks += ByteArray(STATES_PER_CHUNK * stateBytes)
        state.bytes.copyInto(chunks[number / STATES_PER_CHUNK], (number % STATES_PER_CHUNK) * stateBytes)
        if (number == parents.size) parents = parents.copyOf(2 * number)
        parents[number] = parent
        if (model.isBroken(state)) brokenState = number
        if (2 * count > table.size) growTable()
    }

    private fun slotOf(bytes: ByteArray): Int {
        var hash = 0L
        for (byte in bytes) hash = (hash xor byte.toLong()) * HASH_FACTOR
        return (hash xor (hash ushr 32)).toInt() and (table.size - 1)
    }

    private fun isEqual(number: Int, bytes: ByteArray): Boolean {
        val from = (number % STATES_PER_CHUNK) * stateBytes
        val chunk = chunks[number / STATES_PER_CHUNK]
        return java.util.Arrays.equals(chunk, from, from + stateBytes, bytes, 0, stateBytes)
    }

    private fun growTable() {
        table = IntArray(2 * table.size)
        for (number in 0 until count) {
            var slot = slotOf(stateAt(number).bytes)
            while (table[slot] != 0) slot = (slot + 1) and (table.size - 1)
            table[slot] = number + 1
        }
    }

    private fun stateAt(number: Int): LeaseState {
        val from = (number % STATES_PER_CHUNK) * stateBytes
        return LeaseState(chunks[number / STATES_PER_CHUNK].copyOfRange(from, from + stateBytes))
    }

    private fun historyOf(number: Int): List<String> =
        generateSequence(number) { parents[it].takeIf { parent -> parent >= 0 } }.toList().reversed()
            .zipWithNext { from, to -> actionBetween(from, to) }

    private fun actionBetween(from: Int, to: Int): String {
        val target = stateAt(to).bytes
        var found: String? = null
        model.expand(stateAt(from)) { state, action, process, other ->
            if (found == null && state.bytes.contentEquals(target)) {
                found = listOf(process, action, other).filter { it != -1 }.joinToString(" ")
            }
        }
        return checkNotNull(found)
    }

    private companion object {
        const val HASH_FACTOR = 0x100000001b3L
    }
}
