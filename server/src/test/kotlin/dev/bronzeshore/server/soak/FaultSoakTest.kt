/**
 * Guards against tasks that run twice, and against lost jobs, when workers, processes and the store fail at once.
 *
 * With `-Dsoak.seeds=1-20 -Dsoak.kinds=DRAIN,LEADER_KILL -Dsoak.seconds=40` it runs other seeds by hand and writes the
 * reports to `-Dsoak.folder`.
 */
package dev.bronzeshore.server.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeLines

internal class FaultSoakTest {
    @Test
    fun `guards against tasks that run twice while workers restart and leaders are killed`(@TempDir folder: Path) {
        val seeds = System.getProperty("soak.seeds")?.let { seedsOf(it) } ?: listOf(1L)
        val failed = seeds.flatMap { runSoak(it, folder) }
        assertEquals(emptyList<String>(), failed.map { "${it.rule}: ${it.text}" })
    }

    private fun runSoak(seed: Long, folder: Path): List<SoakViolation> {
        val result = Soak(soakOptions(seed), folder.resolve("$seed").createDirectories()).run()
        result.report.forEach(::println)
        return result.violations
    }
}

internal fun seedsOf(text: String): List<Long> =
    text.split('-').let { (it.first().toLong()..it.last().toLong()).toList() }

internal fun soakOptions(seed: Long): SoakOptions = SoakOptions(
    seed = seed,
    faultsMs = System.getProperty("soak.seconds", "35").toLong() * 1_000,
    kinds = System.getProperty("soak.kinds")?.split(',')?.map { SoakFaultKind.valueOf(it) } ?: SoakFaultKind.entries,
)

/** Runs the seeds in the first argument and writes a report for each to the folder in the second. */
internal fun main(arguments: Array<String>) {
    val folder = Path.of(arguments[1]).createDirectories()
    for (seed in seedsOf(arguments[0])) {
        val result = Soak(soakOptions(seed), Files.createTempDirectory(folder, "logs-$seed-")).run()
        println(result.summary)
        folder.resolve("report-$seed.txt").writeLines(result.report)
    }
}
