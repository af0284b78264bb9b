/** Reads files given on the command line. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads [file], which must be UTF-8 text. */
internal fun readText(file: Path): Either<CtlFailure, String> = try {
    Files.readString(file).right()
} catch (e: IOException) {
    val reason = if (Files.exists(file)) e.toString() else "there is no such file"
    CtlFailure.usage("The file cannot be read: $reason.", "a readable UTF-8 file", file.toString()).left()
}
