/** Keys and values of the job rows in the table service. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.WireJson
import java.security.MessageDigest

private const val JOB_ID_HEX_DIGITS = 32

/** Row layout: `job/<id>` for every job, and a copy `open/<dataCentre>/<id>` while it has not ended. */
public object JobRows {
    public fun jobKey(jobId: String): String = "job/$jobId"

    public fun openPrefix(dataCentre: String): String = "open/$dataCentre/"

    public fun openKey(record: JobRecord): String = openPrefix(record.dataCentre) + record.jobId

    /** Derives the id from plan and idempotency key, so that a repeated submission refers to the same job. */
    public fun jobId(plan: String, idempotencyKey: String): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("$plan\n$idempotencyKey".toByteArray())
        return digest.joinToString("") { "%02x".format(it) }.take(JOB_ID_HEX_DIGITS)
    }

    public fun parse(row: Row): JobRecord = WireJson.decodeFromString(row.value)

    internal fun putsFor(record: JobRecord): List<Put> {
        val value = WireJson.encodeToString(record)
        return listOf(Put(jobKey(record.jobId), value), Put(openKey(record), value))
    }
}
