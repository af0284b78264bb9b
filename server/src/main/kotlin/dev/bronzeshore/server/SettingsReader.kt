/** Reads and validates the settings file. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.NonEmptyList
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.plans.DocumentReader
import dev.bronzeshore.plans.FieldRule

private const val MAX_PORT = 65_535L
private const val MAX_RETENTION_DAYS = 3_650L
private val HTTP_URL = Regex("http://[^/\\s]+")
private val SHA256_HEX = Regex("[0-9a-f]{64}")
private val HOST = Regex("[0-9a-fA-F.:]+")

/** Reports all faults of a file together, each with its code and line. */
public class SettingsReader {
    private val reader = DocumentReader(Settings.serializer(), RULES)

    /** Reads [text], the content of [file]. */
    public fun read(file: String, text: String): Either<NonEmptyList<Fault>, Settings> = reader.read(file, text)

    private companion object {
        fun url(path: String) = FieldRule(path, ResultCode.INVALID_VALUE, "http://ADDRESS:PORT without a path") {
            HTTP_URL.matches(it.content)
        }

        fun listen(path: String) = listOf(
            FieldRule("$path.host", ResultCode.INVALID_VALUE, "an IP address") { HOST.matches(it.content) },
            FieldRule.number("$path.port", 0, MAX_PORT),
        )

        val RULES = listOf(
            FieldRule.name("processId"),
            FieldRule.name("dataCentre"),
            FieldRule.name("region"),
            url("platform.tableUrl"),
            url("platform.vmListUrl"),
            FieldRule(
                "operatorTokenSha256",
                ResultCode.INVALID_VALUE,
                "the SHA-256 of the token as 64 lower-case hex digits",
                secret = true,
            ) { SHA256_HEX.matches(it.content) },
            FieldRule.number("auditRetentionDays", 1, MAX_RETENTION_DAYS),
        ) + listen("callers") + listen("operators") + listen("peers")
    }
}
