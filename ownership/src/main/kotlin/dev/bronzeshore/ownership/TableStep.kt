/** The next table call that the ownership state machine requests. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.Transaction

internal sealed interface TableStep {
    data object Read : TableStep

    data class Write(val transaction: Transaction) : TableStep

    data object Done : TableStep
}
