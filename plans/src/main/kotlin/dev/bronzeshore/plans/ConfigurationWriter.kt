/** Changes the configuration: the only writer of the configuration row. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.WriteResult
import dev.bronzeshore.core.rowKey
import dev.bronzeshore.core.toPut
import kotlinx.coroutines.delay

/**
 * Writes the configuration row and an audit row in one transaction.
 *
 * [onAccepted] is called with each configuration that was written, to put it in force in this process and to push it
 * to the peers. [backoff] waits between two attempts.
 */
public class ConfigurationWriter(
    private val table: TableApi,
    private val clock: ClockMs,
    private val newWriteId: () -> String,
    private val onAccepted: (configuration: Configuration) -> Unit = {},
    private val backoff: suspend (attempt: Int) -> Unit = { delay(it * BACKOFF_STEP_MS) },
) {
    /** Puts plans and allowances in force; marks on VMs stay as they are. */
    public suspend fun apply(request: ApplyRequest): Either<Fault, ApplyAnswer> = either {
        requireOperator(request.operator).bind()
        ConfigurationValidator.validate(request.plans, request.allowances).bind()
        val edit =
            Edit("plans apply", request.operator) {
                it.copy(plans = request.plans, allowances = request.allowances)
            }
        change(edit, request.expectedVersion, request.dryRun).bind()
    }

    /**
     * Sets the mark of a VM.
     *
     * A conflict with another writer is retried, because marks do not depend on the rest of the configuration.
     */
    public suspend fun mark(vmId: String, request: MarkRequest): Either<Fault, ApplyAnswer> = either {
        requireOperator(request.operator).bind()
        if (!FieldRule.isName(vmId)) {
            raise(Fault(ResultCode.INVALID_VALUE, "\"$vmId\" is not a VM id.", "id", "letters, digits, '.', '_', '-'"))
        }
        val edit =
            Edit("vm mark", request.operator) { before ->
                before.copy(marks = before.marks.filter { it.vmId != vmId } + MarkedVm(vmId, request.mark))
            }
        changeRetryingConflicts(edit).bind()
    }

    private suspend fun changeRetryingConflicts(edit: Edit): Either<Fault, ApplyAnswer> {
        var response = change(edit, expectedVersion = null, dryRun = false)
        for (attempt in 1 until MAX_ATTEMPTS) {
            if (response.leftOrNull()?.code != ResultCode.VERSION_CONFLICT) {
                return response
            }
            backoff(attempt)
            response = change(edit, expectedVersion = null, dryRun = false)
        }
        return response
    }

    private suspend fun change(edit: Edit, expectedVersion: Long?, dryRun: Boolean): Either<Fault, ApplyAnswer> =
        table.read(ConfigurationRow.KEY).flatMap(ConfigurationRow::decode).mapLeft(::notWritten).flatMap { before ->
            val after = edit.change(before).copy(version = before.version + 1)
            val changes = ConfigurationDiffer.describe(before, after)
            // If the content is already in force, any lower expected version succeeds: this is the state that a command
            // finds when it is repeated after a lost response. A higher one cannot have come from the table as it was
            // read.
            val expected = expectedVersion ?: before.version
            when {
                expected > before.version || (changes.isNotEmpty() && expected < before.version) ->
                    conflict(expected, before.version).left()

                dryRun -> ApplyAnswer(before.version, changes, applied = false).right()

                changes.isEmpty() -> confirm(before)

                else -> write(edit, before, after, changes)
            }
        }

    /** Verifies that [configuration] is not a stale read, with a transaction that has a condition and no writes. */
    private suspend fun confirm(configuration: Configuration): Either<Fault, ApplyAnswer> {
        val condition = Condition(ConfigurationRow.KEY, configuration.version)
        return table.write(Transaction(newWriteId(), listOf(condition))).mapLeft(::notWritten).flatMap { result ->
            when (result) {
                is WriteResult.Conflict -> conflict(configuration.version, result.actualVersion).left()
                else -> ApplyAnswer(configuration.version, emptyList(), applied = false).right()
            }
        }
    }

    private suspend fun write(
        edit: Edit,
        before: Configuration,
        after: Configuration,
        changes: List<String>,
    ): Either<Fault, ApplyAnswer> {
        val entry = auditEntry(edit, before, after, changes)
        val transaction =
            Transaction(
                entry.writeId,
                // The condition on the audit row comes first: if the row exists, an earlier attempt took effect.
                listOf(Condition(entry.rowKey, 0), Condition(ConfigurationRow.KEY, before.version)),
                listOf(ConfigurationRow.put(after), entry.toPut()),
            )
        return WriteResolver(table, transaction, ConfigurationRow.KEY, entry.rowKey)
            .run(MAX_ATTEMPTS, backoff)
            .flatMap { result ->
                when (result) {
                    is WriteResult.Conflict -> conflict(before.version, result.actualVersion).left()

                    else -> {
                        onAccepted(after)
                        ApplyAnswer(after.version, changes, applied = true).right()
                    }
                }
            }
    }

    private fun auditEntry(
        edit: Edit,
        before: Configuration,
        after: Configuration,
        changes: List<String>,
    ): AuditEntry = AuditEntry(
        operator = edit.operator,
        atMs = clock(),
        action = edit.action,
        version = after.version,
        writeId = newWriteId(),
        changes = changes,
        before = encode(ConfigurationDiffer.changedItems(before, after)),
        after = encode(ConfigurationDiffer.changedItems(after, before)),
    )

    private fun encode(configuration: Configuration): String =
        WireJson.encodeToString(Configuration.serializer(), configuration)

    private fun requireOperator(operator: String): Either<Fault, Unit> = if (operator.isBlank()) {
        Fault(ResultCode.MISSING_FIELD, "The operator's name is missing.", "operator", "a name for the audit").left()
    } else {
        Unit.right()
    }

    /** Maps the fault of a call that writes no rows: nothing can have been written, whatever its code says. */
    private fun notWritten(fault: Fault): Fault = if (fault.code.outcome == Outcome.NOT_RUN) {
        fault
    } else {
        fault.copy(code = ResultCode.STORE_UNAVAILABLE)
    }

    private fun conflict(expected: Long, actual: Long): Fault = Fault(
        ResultCode.VERSION_CONFLICT,
        "Expected version $expected, but the current version is $actual.",
        ConfigurationRow.KEY,
        "version $actual, after a look at what changed",
    )

    private class Edit(val action: String, val operator: String, val change: (before: Configuration) -> Configuration)

    private companion object {
        const val MAX_ATTEMPTS = 5
        const val BACKOFF_STEP_MS = 40L
    }
}
