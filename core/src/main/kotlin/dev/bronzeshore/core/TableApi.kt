/** The platform's table service as function types, so that tests put a small fake in its place. */
package dev.bronzeshore.core

import arrow.core.Either
import kotlinx.serialization.Serializable

/** A row; [version] grows by one with each write, [writeId] names the write that produced it. */
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

/** A transaction: applied whole if all conditions hold, otherwise not at all. */
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

/** Rows whose keys start with a prefix, in key order, after a key. */
@Serializable
public data class RowRange(public val prefix: String, public val afterKey: String = "", public val limit: Int = 1_000)

/**
 * Access to the table service.
 *
 * A left result with outcome `NOT_RUN` means that nothing was written; `UNKNOWN` means that the write may have taken
 * effect, and a re-read that compares [Row.writeId] tells.
 */
public class TableApi(
    public val read: suspend (key: String) -> Either<Fault, Row?>,
    public val readRange: suspend (range: RowRange) -> Either<Fault, List<Row>>,
    public val write: suspend (transaction: Transaction) -> Either<Fault, WriteResult>,
)
