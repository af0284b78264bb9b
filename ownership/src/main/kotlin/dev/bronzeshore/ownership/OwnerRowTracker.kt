/** Knowledge of a process about the owner row: the last known row and its own writes with an unknown outcome. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.Transaction

/** A write of this process that may have replaced the row at [version] with [row]. */
internal data class UncertainWrite(val version: Long, val row: OwnerRow)

/** Tracks the owner row; [lastKnown] is null until the first read. */
internal class OwnerRowTracker(dataCentre: String, private val self: Member, private val rules: OwnershipRules) {
    var lastKnown: VersionedOwnerRow? = null
        private set

    private val key = ownerRowKey(dataCentre)
    private var writeCount = 0L
    private val uncertainWrites = LinkedHashMap<String, UncertainWrite>()

    val row: OwnerRow? get() = lastKnown?.row

    val version: Long get() = lastKnown?.version ?: 0

    /** True if the outcomes of all writes of this process are known. */
    val isCertain: Boolean get() = uncertainWrites.isEmpty()

    /** All contents that the row may have after the writes of this process. */
    val possibleRows: List<OwnerRow>
        get() {
            val current = listOfNotNull(row)
            return if (rules.considersUncertainRows) current + uncertainWrites.values.map { it.row } else current
        }

    /** Creates a write. Its outcome is uncertain from now on: it may take effect at any time after it is sent. */
    fun beginWrite(row: OwnerRow): TableStep.Write {
        writeCount += 1
        val writeId = "${self.processId}/$key/$writeCount"
        uncertainWrites[writeId] = UncertainWrite(version, row)
        return TableStep.Write(Transaction(writeId, listOf(Condition(key, version)), listOf(Put(key, row.encode()))))
    }

    /** The write did not take effect and never will. */
    fun discardWrite(writeId: String) {
        uncertainWrites.remove(writeId)
    }

    /** The write took effect; returns false if a newer row was already known. */
    fun confirmWrite(writeId: String): Boolean {
        val write = uncertainWrites[writeId] ?: return false
        return updateIfNewer(VersionedOwnerRow(write.version + 1, write.row))
    }

    /**
     * Stores a row that was read if it is newer than the known one, and returns whether it is.
     *
     * A newer version resolves all earlier writes, because they are conditional on an older one. The same version
     * resolves nothing: a write that timed out may still arrive at the table.
     */
    fun updateIfNewer(read: VersionedOwnerRow): Boolean {
        val current = lastKnown
        if (current != null && read.version <= current.version) {
            if (!rules.onlyNewVersionResolvesWrites) uncertainWrites.clear()
            return false
        }
        lastKnown = read
        uncertainWrites.clear()
        return true
    }
}
