/** Limits of the store on one transaction. */
package dev.bronzeshore.core.cluster

/** Number of conditions, writes and deletions together. */
public const val MAX_TRANSACTION_ENTRIES: Int = 100

/** Size of a transaction as JSON; the store takes 1 MB. */
public const val MAX_TRANSACTION_BYTES: Int = 950_000

/** Size of the value of a row. */
public const val MAX_ROW_BYTES: Int = 65_536

/** Names of the fields, punctuation and numbers of an entry in JSON. */
private const val ENTRY_OVERHEAD_BYTES = 100

/** Characters and bytes of a group in Base64. */
private const val BASE64_CHARACTERS = 4
private const val BASE64_BYTES = 3

/** Counts what is added to a transaction, so that the store does not refuse it as too large. Not thread-safe. */
public class TransactionSize(reservedEntries: Int = 0) {
    private var entries = reservedEntries
    private var bytes = 0

    /** Adds [write] if there is room for it; the first one always has room. */
    public fun add(write: RowWrite): Boolean {
        val writeBytes = write.wireBytes
        val isFull = entries >= MAX_TRANSACTION_ENTRIES || bytes > 0 && bytes + writeBytes > MAX_TRANSACTION_BYTES
        if (isFull) return false
        entries++
        bytes += writeBytes
        return true
    }
}

private val RowWrite.wireBytes: Int
    get() = ENTRY_OVERHEAD_BYTES + id.table.length + id.partition.length + id.key.length +
        (value.size + BASE64_BYTES - 1) / BASE64_BYTES * BASE64_CHARACTERS
