package dev.bronzeshore.spec

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Checks that each property holds within its scope and that removing a rule of the design yields the counterexample
 * that its command expects. Guards against wrong rules, and against a specification too weak to detect them.
 */
class SpecificationTest {
    @TestFactory
    fun `the checker finds what each command expects`(): List<DynamicTest> = FILES.flatMap { file ->
        val model = AlloyModel(file)
        model.commands.filter { COMMANDS.matches(it.label) }.map { command ->
            DynamicTest.dynamicTest("$file ${command.label}") {
                assertTrue(command.expects in 0..1, "each command states what it expects")
                val startNs = System.nanoTime()
                val solution = model.solve(command)
                println("spec: $file ${command.label} ${(System.nanoTime() - startNs) / 1_000_000} ms")
                assertEquals(command.expects == 1, solution.satisfiable(), solution.toString())
            }
        }
    }

    private companion object {
        val FILES = listOf("ownership.als", "configuration.als")

        /** Larger scopes take minutes and run only with `-Dspec.commands=Long.*`. */
        val COMMANDS = Regex(System.getProperty("spec.commands", "(?!Long).*"))

        init {
            // The solver logs each translation step at the default level.
            System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
        }
    }
}
