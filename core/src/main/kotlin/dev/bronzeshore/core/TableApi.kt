/** The platform's table service as function types, so that tests can substitute a small fake. */
package dev.bronzeshore.core

import arrow.core.Either
import kotlinx.serialization.Serializable

/** A row; [version] increases by one with each write, [writeId] identifies the write that produced it. */
@Serializable
public data class Row(
    public val key: String,
    public val version: Long,
    public val value: String,
    public val writeId: String,
)

/** Requires [key] to be at [version]; version 0 requires that the row does not exist. */
@Serializable
public data class Condition(public val key: String, public val version: Long)

@Serializable
public data class Put(public val key: String, public val value: String)

/** A transaction, applied atomically if all conditions hold and otherwise not at all. */
@Serializable
public data class Transaction(
    public val writeId: String,
    public val conditions: List<Condition> = emptyList(),
    public val puts: List<Put> = emptyList(),
    public val deletes: List<String> = emptyList(),
)

/** How a transaction ended. */
@Serializable
public sealed interface WriteResult {
    /** The transaction took effect. */
    @Serializable
    public data object Applied : WriteResult

    /** A condition did not hold; nothing was written. */
    @Serializable
    public data class Conflict(public val key: String, public val actualVersion: Long) : WriteResult
}

/** Selects up to [limit] rows whose keys start with [prefix] and sort after [afterKey], in key order. */
@Serializable
public data class RowRange(public val prefix: String, public val afterKey: String = "", public val limit: Int = 1_000)

/**
 * Access to the table service.
 *
 * A left result with outcome `NOT_RUN` means that nothing was written; `UNKNOWN` means that the write may have taken
 * effect, which can be determined by reading the row again and comparing [Row.writeId].
 */
public class TableApi(
    public val read: suspend (key: String) -> Either<Fault, Row?>,
    public val readRange: suspend (range: RowRange) -> Either<Fault, List<Row>>,
    public val write: suspend (transaction: Transaction) -> Either<Fault, WriteResult>,
)
