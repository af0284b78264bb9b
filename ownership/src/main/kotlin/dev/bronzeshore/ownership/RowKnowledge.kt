/** What a process knows about the owner row: the row last seen and its own writes whose outcome is open. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.Transaction

/** A write of this process that may have replaced the row at [version] by [row]. */
internal data class UnsettledWrite(val version: Long, val row: OwnerRow)

/** Tracks the owner row; [known] is null until the first read. */
internal class RowKnowledge(dataCentre: String, private val self: Member, private val rules: OwnershipRules) {
    var known: VersionedOwnerRow? = null
        private set

    private val key = ownerRowKey(dataCentre)
    private var writes = 0L
    private val unsettled = LinkedHashMap<String, UnsettledWrite>()

    val row: OwnerRow? get() = known?.row

    val version: Long get() = known?.version ?: 0

    val settled: Boolean get() = unsettled.isEmpty()

    /** All contents that the row may have, as far as this process can have changed it. */
    val possibleRows: List<OwnerRow>
        get() {
            val current = listOfNotNull(row)
            return if (rules.countsUnsettledRows) current + unsettled.values.map { it.row } else current
        }

    /** Counts the write as unsettled from now on, because it may take effect at any time after it was sent. */
    fun write(row: OwnerRow): TableStep.Write {
        writes += 1
        val writeId = "${self.processId}/$key/$writes"
        unsettled[writeId] = UnsettledWrite(version, row)
        return TableStep.Write(Transaction(writeId, listOf(Condition(key, version)), listOf(Put(key, row.encode()))))
    }

    /** The write is known not to have taken effect. */
    fun notWritten(writeId: String) {
        unsettled.remove(writeId)
    }

    /** The write took effect; false when a newer row was already known. */
    fun written(writeId: String): Boolean {
        val write = unsettled[writeId] ?: return false
        return adopt(VersionedOwnerRow(write.version + 1, write.row))
    }

    /**
     * Takes over a row as read; returns whether it is newer than the known one.
     *
     * A newer version settles all earlier writes, because they are conditional on an older one. The same version
     * settles nothing: a write that timed out may still be on its way to the table.
     */
    fun adopt(read: VersionedOwnerRow): Boolean {
        val current = known
        if (current != null && read.version <= current.version) {
            if (!rules.onlyNewVersionSettles) unsettled.clear()
            return false
        }
        known = read
        unsettled.clear()
        return true
    }
}
