/** Retention period of audit rows. */
package dev.bronzeshore.audit

import kotlinx.serialization.Serializable

/** Settings of the audit log. */
@Serializable
public data class AuditRetention(public val retentionMs: Long = DEFAULT_RETENTION_MS) {
    init {
        require(retentionMs >= MIN_RETENTION_MS) {
            "retentionMs is $retentionMs; accepted is a whole number of at least $MIN_RETENTION_MS (one hour)"
        }
    }

    public companion object {
        /** 400 days: a full year can be compared with the same days of the previous year. */
        public const val DEFAULT_RETENTION_MS: Long = 400L * 24 * 60 * 60 * 1_000

        /** Audit rows also resolve writes whose response was lost. This takes seconds; an hour is an ample margin. */
        public const val MIN_RETENTION_MS: Long = 60L * 60 * 1_000
    }
}
