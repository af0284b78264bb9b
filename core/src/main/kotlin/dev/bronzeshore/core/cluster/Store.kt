/**
 * The transactional store that keeps everything which has to outlive a process.
 *
 * Rows live in a table and a part; a transaction covers rows of a single part.
 */
package dev.bronzeshore.core.cluster

import arrow.core.Either

/** Where a row is kept. */
public data class RowId(public val table: String, public val partition: String, public val key: String)

/** A row as read; [value] is null for a row that a change feed reports as deleted. */
public class StoredRow(public val id: RowId, public val value: ByteArray?, public val version: Long)

/** Requires [id] to be at [version]; version 0 requires that the row does not exist. */
public data class RowCondition(public val id: RowId, public val version: Long)

/** A row to write. */
public class RowWrite(public val id: RowId, public val value: ByteArray)

/** Applied as a whole if all [conditions] hold, otherwise not at all. */
public class StoreTransaction(
    public val conditions: List<RowCondition> = emptyList(),
    public val writes: List<RowWrite> = emptyList(),
    public val deletes: List<RowId> = emptyList(),
)

/** How a transaction ended; only [Unknown] leaves open whether it took or will take effect. */
public sealed interface StoreOutcome {
    /** The transaction took effect as [version]. */
    public data class Applied(public val version: Long) : StoreOutcome

    /** A condition did not hold; [rows] are the rows of the conditions as they are now. */
    public class Conflict(public val rows: List<StoredRow>) : StoreOutcome

    /** The store refused the call or was not reached; nothing was written. */
    public data class NotApplied(public val reason: String) : StoreOutcome

    /** No answer came: the transaction may have been applied, or may still be. */
    public data class Unknown(public val reason: String) : StoreOutcome
}

/** Why a read gave no rows. */
public sealed interface ReadFailure {
    public data class Unavailable(public val reason: String) : ReadFailure

    /** The change feed no longer reaches back to the requested version; read the table afresh. */
    public data object HistoryGone : ReadFailure
}

/** A key range of one part; [fromKey] is included, [toKey] excluded. */
public data class RowRangeQuery(
    public val table: String,
    public val partition: String,
    public val fromKey: String? = null,
    public val toKey: String? = null,
)

/** Rows as of [version]. */
public class RowPage(public val rows: List<StoredRow>, public val hasMore: Boolean, public val version: Long)

/** The changes of a table after a version, in order; continue after [version]. */
public class ChangePage(public val rows: List<StoredRow>, public val version: Long)

/** Access to the store. */
public class ClusterStore(
    public val transact: suspend (StoreTransaction) -> StoreOutcome,
    public val readPage: suspend (RowRangeQuery) -> Either<ReadFailure, RowPage>,
    /** Changes of a table after a version; waits up to the given milliseconds for the first one. */
    public val changes: suspend (table: String, afterVersion: Long, waitMs: Long) -> Either<ReadFailure, ChangePage>,
)
