/** The row of the table service that holds the configuration. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.WireJson

/** Codec of the row; the version of the configuration is the version of its row. */
public object ConfigurationRow {
    public const val KEY: String = "config/current"

    /** Decodes the row; a missing row means the empty configuration. */
    public fun decode(row: Row?): Either<Fault, Configuration> {
        if (row == null) {
            return Configuration.EMPTY.right()
        }
        return try {
            WireJson.decodeFromString(Configuration.serializer(), row.value).copy(version = row.version).right()
        } catch (e: IllegalArgumentException) {
            val cause = e.message?.lineSequence()?.first()
            val message = "The row $KEY at version ${row.version} cannot be decoded: $cause"
            Fault(ResultCode.INTERNAL, message, KEY, "a configuration as JSON").left()
        }
    }

    internal fun put(configuration: Configuration): Put =
        Put(KEY, WireJson.encodeToString(Configuration.serializer(), configuration))
}
