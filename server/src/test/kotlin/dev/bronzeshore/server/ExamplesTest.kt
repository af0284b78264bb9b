/** Reads every example of the repository with the readers that the binaries use. */
package dev.bronzeshore.server

import dev.bronzeshore.core.Fault
import dev.bronzeshore.plans.AllowanceListReader
import dev.bronzeshore.plans.PlanListReader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against examples that are outdated or inconsistent with each other. */
class ExamplesTest {
    @ParameterizedTest
    @MethodSource("settingsFiles")
    fun `settings are valid`(file: String) {
        assertEquals(emptyList<Fault>(), SettingsReader().read(file, RepositoryFiles.text(file)).faults())
    }

    @ParameterizedTest
    @MethodSource("examples")
    fun `plans and allowances are valid together`(example: String) {
        val plansFile = "$example/plans.json"
        val plans = PlanListReader().read(plansFile, RepositoryFiles.text(plansFile))
        assertEquals(emptyList<Fault>(), plans.faults())
        val names = plans.getOrNull().orEmpty().map { it.name }.toSet()
        val allowancesFile = "$example/allowances.json"
        val allowances = AllowanceListReader(names).read(allowancesFile, RepositoryFiles.text(allowancesFile))
        assertEquals(emptyList<Fault>(), allowances.faults())
    }

    @ParameterizedTest
    @MethodSource("examples")
    fun `allowances name data centres that have an entry VM`(example: String) {
        val file = "$example/allowances.json"
        val allowances = AllowanceListReader(null).read(file, RepositoryFiles.text(file)).getOrNull().orEmpty()
        val entryDataCentres = settingsOf(example).map { it.dataCentre }.toSet()
        assertEquals(entryDataCentres, allowances.map { it.dataCentre }.toSet())
    }

    @ParameterizedTest
    @MethodSource("examples")
    fun `entry VMs of one example have distinct names and addresses`(example: String) {
        val settings = settingsOf(example)
        assertEquals(settings.size, settings.map { it.processId }.toSet().size)
        val addresses = settings.flatMap { listOf(it.callers, it.operators, it.peers) }
        assertEquals(addresses.size, addresses.toSet().size)
        assertEquals(1, settings.map { it.operatorTokenSha256 to it.platform }.toSet().size)
    }

    @ParameterizedTest
    @MethodSource("users")
    fun `each user example has two entry VMs in each of three data centres`(example: String) {
        val byDataCentre = settingsOf(example).groupingBy { it.dataCentre }.eachCount()
        assertEquals(3, byDataCentre.size)
        assertTrue(byDataCentre.values.all { it == 2 }) { byDataCentre.toString() }
    }

    @Test
    fun `all examples were found`() {
        assertEquals(listOf("examples/quickstart", "examples/solvgaard", "examples/utility"), examples())
    }

    private fun settingsOf(example: String): List<Settings> = settingsFiles().filter { it.startsWith("$example/") }
        .mapNotNull { SettingsReader().read(it, RepositoryFiles.text(it)).getOrNull() }

    internal companion object {
        @JvmStatic
        fun settingsFiles(): List<String> =
            RepositoryFiles.below("examples") { it.substringAfterLast('/').startsWith("entry-") }

        @JvmStatic
        fun examples(): List<String> = settingsFiles().map { it.substringBeforeLast('/') }.distinct()

        @JvmStatic
        fun users(): List<String> = listOf("examples/utility", "examples/solvgaard")
    }
}
