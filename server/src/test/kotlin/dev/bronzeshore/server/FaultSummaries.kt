/** Short forms of faults for test cases. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.NonEmptyList
import dev.bronzeshore.core.Fault

internal fun <T> Either<NonEmptyList<Fault>, T>.faults(): List<Fault> = leftOrNull().orEmpty()

internal fun Fault.summary(): String = "${code.number} $place"
