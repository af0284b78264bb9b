/** Ordered index of the free capacity of workers, so that a fit check does not visit every worker. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/**
 * A treap over worker slots, ordered by one dimension of their free capacity ([keyOf]).
 *
 * Each node also stores the most free processors, memory and accelerators in its subtree, so that a query skips
 * subtrees that cannot fit the size. Updates and queries take O(log n) steps unless many workers have free capacity in
 * one dimension and none in another.
 */
internal class FreeCapacityIndex(private val keyOf: (Resources) -> Long) {
    private var left = IntArray(INITIAL_SLOTS)
    private var right = IntArray(INITIAL_SLOTS)
    private var present = BooleanArray(INITIAL_SLOTS)
    private var keys = LongArray(INITIAL_SLOTS)
    private var free = LongArray(INITIAL_SLOTS * DIMENSIONS)
    private var largest = LongArray(INITIAL_SLOTS * DIMENSIONS)
    private var root = NONE
    private var splitLeft = NONE
    private var splitRight = NONE

    private var found = 0

    /** Sets the free capacity of the worker in [slot]. */
    fun put(slot: Int, size: Resources) {
        if (slot >= left.size) grow(slot)
        if (present[slot]) {
            if (isUnchanged(slot, size)) return
            root = delete(root, slot)
        }
        present[slot] = true
        keys[slot] = keyOf(size)
        free[slot * DIMENSIONS] = size.processorsMillicores
        free[slot * DIMENSIONS + 1] = size.memoryBytes
        free[slot * DIMENSIONS + 2] = size.accelerators
        left[slot] = NONE
        right[slot] = NONE
        update(slot)
        root = insert(root, slot)
    }

    fun remove(slot: Int) {
        if (slot >= left.size || !present[slot]) return
        root = delete(root, slot)
        present[slot] = false
    }

    /** Fills [into] with slots that fit [size], least free capacity first, and returns how many were found. */
    fun collectFitting(size: Resources, into: IntArray): Int {
        found = 0
        collect(root, size, keyOf(size), into)
        return found
    }

    /** Fills [into] with the slots of the most free capacity, largest first, and returns how many there are. */
    fun collectLargest(into: IntArray): Int {
        found = 0
        collectDescending(root, into)
        return found
    }

    /** True if no worker can fit [size]; false does not mean that one can. */
    fun cannotFit(size: Resources): Boolean = root == NONE || !mayFit(root, size)

    private fun collect(node: Int, size: Resources, key: Long, into: IntArray) {
        if (node == NONE || found == into.size || !mayFit(node, size)) return
        if (keys[node] >= key) collect(left[node], size, key, into)
        if (found < into.size && fits(node, size)) into[found++] = node
        collect(right[node], size, key, into)
    }

    private fun collectDescending(node: Int, into: IntArray) {
        if (node == NONE || found == into.size) return
        collectDescending(right[node], into)
        if (found < into.size) into[found++] = node
        collectDescending(left[node], into)
    }

    private fun mayFit(node: Int, size: Resources): Boolean = within(largest, node, size)

    private fun fits(node: Int, size: Resources): Boolean = within(free, node, size)

    private fun within(bounds: LongArray, node: Int, size: Resources): Boolean {
        val at = node * DIMENSIONS
        return size.processorsMillicores <= bounds[at] &&
            size.memoryBytes <= bounds[at + 1] &&
            size.accelerators <= bounds[at + 2]
    }

    private fun isUnchanged(slot: Int, size: Resources): Boolean {
        val at = slot * DIMENSIONS
        return free[at] == size.processorsMillicores &&
            free[at + 1] == size.memoryBytes &&
            free[at + 2] == size.accelerators
    }

    private fun insert(node: Int, slot: Int): Int {
        if (node == NONE) return slot
        if (priority(slot) > priority(node)) {
            split(node, slot)
            left[slot] = splitLeft
            right[slot] = splitRight
            update(slot)
            return slot
        }
        if (precedes(slot, node)) left[node] = insert(left[node], slot) else right[node] = insert(right[node], slot)
        update(node)
        return node
    }

    private fun delete(node: Int, slot: Int): Int {
        if (node == slot) return merge(left[node], right[node])
        if (precedes(slot, node)) left[node] = delete(left[node], slot) else right[node] = delete(right[node], slot)
        update(node)
        return node
    }

    /** Splits the subtree of [node] into the slots that precede [pivot] and the rest. */
    private fun split(node: Int, pivot: Int) {
        if (node == NONE) {
            splitLeft = NONE
            splitRight = NONE
            return
        }
        if (precedes(node, pivot)) {
            split(right[node], pivot)
            right[node] = splitLeft
            splitLeft = node
        } else {
            split(left[node], pivot)
            left[node] = splitRight
            splitRight = node
        }
        update(node)
    }

    private fun merge(first: Int, second: Int): Int {
        if (first == NONE) return second
        if (second == NONE) return first
        return if (priority(first) > priority(second)) {
            right[first] = merge(right[first], second)
            update(first)
            first
        } else {
            left[second] = merge(first, left[second])
            update(second)
            second
        }
    }

    private fun update(node: Int) {
        for (dimension in 0 until DIMENSIONS) {
            val at = node * DIMENSIONS + dimension
            var most = free[at]
            if (left[node] != NONE) most = maxOf(most, largest[left[node] * DIMENSIONS + dimension])
            if (right[node] != NONE) most = maxOf(most, largest[right[node] * DIMENSIONS + dimension])
            largest[at] = most
        }
    }

    private fun precedes(slot: Int, other: Int): Boolean =
        keys[slot] < keys[other] || (keys[slot] == keys[other] && slot < other)

    /** A hash of the slot number instead of a random priority keeps the tree balanced and each run reproducible. */
    private fun priority(slot: Int): Int =
        ((slot + 1) * HASH_MULTIPLIER) xor ((slot + 1) * HASH_MULTIPLIER ushr HASH_SHIFT)

    private fun grow(slot: Int) {
        val slots = maxOf(slot + 1, left.size * 2)
        left = left.copyOf(slots)
        right = right.copyOf(slots)
        present = present.copyOf(slots)
        keys = keys.copyOf(slots)
        free = free.copyOf(slots * DIMENSIONS)
        largest = largest.copyOf(slots * DIMENSIONS)
    }

    private companion object {
        const val NONE = -1
        const val DIMENSIONS = 3
        const val INITIAL_SLOTS = 64

        /** Odd constant near 2^32 divided by the golden ratio, as in multiplicative hashing. */
        const val HASH_MULTIPLIER = -1_640_531_527
        const val HASH_SHIFT = 15
    }
}
