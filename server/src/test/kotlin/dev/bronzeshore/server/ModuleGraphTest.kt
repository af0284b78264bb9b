/** Checks the rules of the design page for dependencies between modules. */
package dev.bronzeshore.server

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards against feature modules that depend on each other and against test helpers in the shipped binaries. */
class ModuleGraphTest {
    private val graph = ModuleGraph.ofRepository()

    @Test
    fun `the rules cover every module`() {
        assertEquals((FEATURE_MODULES + OTHER_MODULES).toSortedSet(), graph.modules.toSortedSet())
    }

    @ParameterizedTest
    @MethodSource("featureModules")
    fun `a feature module depends on core only`(module: String) {
        val other = graph.dependenciesOf(module).map { it.module } - "core"
        assertTrue(other.isEmpty()) { "$module/pom.xml names $other" }
    }

    @ParameterizedTest
    @MethodSource("featureModules")
    fun `a feature module imports packages of core only`(module: String) {
        val other = graph.importsOf(module).filter { it.to != "core" }
        assertTrue(other.isEmpty()) { "imports of other modules: $other" }
    }

    @Test
    fun `core depends on no other module`() {
        assertEquals(emptyList<ModuleDependency>(), graph.dependenciesOf("core"))
        assertEquals(emptyList<SourceImport>(), graph.importsOf("core"))
    }

    @Test
    fun `no module depends on itself directly or transitively`() {
        val inCycles = graph.modules.filter { it in graph.reachableFrom(it) }
        assertTrue(inCycles.isEmpty()) { "modules in a cycle: $inCycles" }
    }

    @ParameterizedTest
    @ValueSource(strings = ["server", "ctl"])
    fun `stand-ins are never shipped`(module: String) {
        val reachable = graph.reachableFrom(module)
        assertTrue("stand-ins" !in reachable && "benchmarks" !in reachable) { "$module depends on $reachable" }
    }

    @Test
    fun `ctl does not depend on the server`() {
        val reachable = graph.reachableFrom("ctl")
        assertTrue("server" !in reachable) { "ctl depends on $reachable" }
    }

    @Test
    fun `a cycle, a test dependency and an import of another module are detected`() {
        val cyclic = ModuleGraph(
            modules = listOf("a", "b"),
            readPom = { if (it == "a") pom("b", "compile") else pom("a", "runtime") },
            sourcesOf = { mapOf("A.kt" to "package x\n\nimport dev.bronzeshore.jobs.JobTracker\n") },
        )
        assertEquals(setOf("a", "b"), cyclic.reachableFrom("a"))
        assertEquals(listOf(SourceImport("A.kt", "a", "jobs")), cyclic.importsOf("a"))
        val testOnly = ModuleGraph(listOf("a"), { pom("b", "test") }, { emptyMap() })
        assertEquals(listOf(ModuleDependency("b", "test")), testOnly.dependenciesOf("a"))
        assertEquals(emptySet<String>(), testOnly.mainDependenciesOf("a"))
    }

    private fun pom(dependency: String, scope: String) = """
        <project><dependencies><dependency>
          <groupId>dev.bronzeshore</groupId><artifactId>bronzeshore-$dependency</artifactId><scope>$scope</scope>
        </dependency></dependencies></project>
    """.trimIndent()

    internal companion object {
        private val FEATURE_MODULES = sortedSetOf(
            "accounts", "audit", "intake", "jobs", "leadership", "membership", "ownership", "peering", "placement",
            "plans", "platform", "requests", "scheduler",
        )
        private val OTHER_MODULES = setOf("benchmarks", "core", "ctl", "server", "spec", "stand-ins")

        @JvmStatic
        fun featureModules(): List<String> = FEATURE_MODULES.toList()
    }
}
