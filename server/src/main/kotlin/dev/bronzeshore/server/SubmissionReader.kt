/** Validation of job submissions. */
package dev.bronzeshore.server

import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.plans.DocumentReader
import dev.bronzeshore.plans.FieldRule
import kotlinx.serialization.json.longOrNull

/** Limits for one part; multiplied by [MAX_PARTS] each still fits into a 64-bit integer. */
private const val MAX_PROCESSORS_MILLICORES = 10_000_000L
private const val MAX_MEMORY_BYTES = 1L shl 49
private const val MAX_ACCELERATORS = 10_000L
private const val MAX_PARTS = 10_000L
private const val MAX_RUN_MS = 365L * 24 * 3_600 * 1_000
private const val MAX_PAYLOAD_CHARACTERS = 65_536

/** The year 2200; a later deadline is probably given in the wrong unit. */
private const val MAX_DEADLINE_MS = 7_258_118_400_000L

internal val submissionReader: DocumentReader<JobSubmission> = DocumentReader(
    JobSubmission.serializer(),
    listOf(
        FieldRule.name("kind"),
        FieldRule.name("dataCentre"),
        FieldRule.number("size.processorsMillicores", 1, MAX_PROCESSORS_MILLICORES),
        FieldRule.number("size.memoryBytes", 1, MAX_MEMORY_BYTES),
        FieldRule.number("size.accelerators", 0, MAX_ACCELERATORS),
        FieldRule.number("parts", 1, MAX_PARTS),
        FieldRule.number("declaredRunMs", 0, MAX_RUN_MS),
        FieldRule("startBeforeMs", ResultCode.INVALID_DEADLINE, "milliseconds since 1970, up to $MAX_DEADLINE_MS") {
            it.longOrNull in 1..MAX_DEADLINE_MS
        },
        FieldRule("payload", ResultCode.BODY_TOO_LARGE, "at most $MAX_PAYLOAD_CHARACTERS characters") {
            it.content.length <= MAX_PAYLOAD_CHARACTERS
        },
    ),
)
