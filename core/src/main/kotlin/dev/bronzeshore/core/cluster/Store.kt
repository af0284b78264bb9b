/**
 * The transactional store for all state that must outlive a process.
 *
 * A row belongs to a table and a partition of it; a transaction covers rows of a single partition.
 */
package dev.bronzeshore.core.cluster

import arrow.core.Either

/** Identity of a row. */
public data class RowId(public val table: String, public val partition: String, public val key: String)

/** A row as read; [value] is null if the change feed reports the row as deleted. */
public class StoredRow(public val id: RowId, public val value: ByteArray?, public val version: Long)

/** Requires [id] to be at [version]; version 0 requires that the row does not exist. */
public data class RowCondition(public val id: RowId, public val version: Long)

/** A row to write. */
public class RowWrite(public val id: RowId, public val value: ByteArray)

/** Applied atomically if all [conditions] hold, otherwise not at all. */
public class StoreTransaction(
    public val conditions: List<RowCondition> = emptyList(),
    public val writes: List<RowWrite> = emptyList(),
    public val deletes: List<RowId> = emptyList(),
)

/** Result of a transaction; only [Unknown] leaves open whether it took effect or will do so. */
public sealed interface StoreOutcome {
    /**
     * The transaction took effect. [version] is the newest one of the store when it answered: later transactions may
     * have raised it, so it need not be the version of the rows that were written.
     */
    public data class Applied(public val version: Long) : StoreOutcome

    /** A condition did not hold; [rows] are the current rows of the conditions. */
    public class Conflict(public val rows: List<StoredRow>) : StoreOutcome

    /** The store rejected the call or could not be reached; nothing was written. */
    public data class NotApplied(
        public val reason: String,
        /** The store refused what the transaction holds, and will refuse it again. */
        public val isContentRefused: Boolean = false,
    ) : StoreOutcome

    /** No response: the transaction may have been applied, or may be applied later. */
    public data class Unknown(public val reason: String) : StoreOutcome
}

/** The reason why a read failed. */
public sealed interface ReadFailure {
    public data class Unavailable(public val reason: String) : ReadFailure

    /** The change feed no longer reaches back to the requested version; the table must be read again. */
    public data object HistoryGone : ReadFailure
}

/** A key range of one partition; [fromKey] is inclusive, [toKey] exclusive. */
public data class RowRangeQuery(
    public val table: String,
    public val partition: String,
    public val fromKey: String? = null,
    public val toKey: String? = null,
)

/** Rows as of [version]; [storeMs] is the store's steady clock when it answered, null if it did not tell. */
public class RowPage(
    public val rows: List<StoredRow>,
    public val hasMore: Boolean,
    public val version: Long,
    public val storeMs: Long?,
)

/**
 * The changes of a table after a version, in order; the next read continues after [version]. [storeMs] is the store's
 * steady clock when it answered, null if it did not tell.
 */
public class ChangePage(public val rows: List<StoredRow>, public val version: Long, public val storeMs: Long?)

/** Access to the store. */
public class ClusterStore(
    public val transact: suspend (StoreTransaction) -> StoreOutcome,
    public val readPage: suspend (RowRangeQuery) -> Either<ReadFailure, RowPage>,
    /** Changes of a table after a version; waits up to the given milliseconds for the first one. */
    public val changes: suspend (table: String, afterVersion: Long, waitMs: Long) -> Either<ReadFailure, ChangePage>,
)
