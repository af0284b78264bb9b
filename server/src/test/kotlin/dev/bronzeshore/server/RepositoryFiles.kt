/** Access to files of the repository from the working directory of a test. */
package dev.bronzeshore.server

import java.nio.file.Files
import java.nio.file.Path

internal object RepositoryFiles {
    /** The nearest directory above the working directory that contains `bin/bronzeshore`. */
    val root: Path = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
        .first { Files.exists(it.resolve("bin/bronzeshore")) }

    fun text(path: String): String = Files.readString(root.resolve(path))

    fun exists(path: String): Boolean = Files.exists(root.resolve(path))

    /** Sorted paths, relative to the root, of the regular files below [directory] that match [wanted]. */
    fun below(directory: String, wanted: (path: String) -> Boolean): List<String> =
        Files.walk(root.resolve(directory)).use { paths ->
            paths.filter { Files.isRegularFile(it) }
                .map { root.relativize(it).toString() }
                .filter { wanted(it) }
                .sorted()
                .toList()
        }
}
