/** Reads the configuration in force from the table service. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.flatMap
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.TableApi

/** Reads the row once per call; the caller decides how often. */
public class ConfigurationRefresher(private val table: TableApi, private val holder: ConfigurationHolder) {
    /** Returns true if the row held a newer configuration, which is now in force in this process. */
    public suspend fun refresh(): Either<Fault, Boolean> =
        table.read(ConfigurationRow.KEY).flatMap(ConfigurationRow::decode).map(holder::offer)
}
