/** Dependencies between the modules of the workspace, from their poms and main sources. */
package dev.bronzeshore.server

import org.w3c.dom.Element
import org.w3c.dom.Node
import javax.xml.parsers.DocumentBuilderFactory

internal data class ModuleDependency(val module: String, val scope: String)

/** An import of one module's package in a main source. */
internal data class SourceImport(val file: String, val from: String, val to: String)

internal class ModuleGraph(
    val modules: List<String>,
    private val readPom: (module: String) -> String,
    private val sourcesOf: (module: String) -> Map<String, String>,
) {
    /** Dependencies on other modules of the workspace, as the pom declares them. */
    fun dependenciesOf(module: String): List<ModuleDependency> = project(readPom(module))
        .children("dependencies").flatMap { it.children("dependency") }
        .filter { it.childText("groupId") == GROUP }
        .map {
            ModuleDependency(
                it.childText("artifactId").orEmpty().removePrefix(ARTIFACT_PREFIX),
                it.childText("scope") ?: "compile",
            )
        }

    /** Dependencies that are part of the shipped binaries. */
    fun mainDependenciesOf(module: String): Set<String> =
        dependenciesOf(module).filter { it.scope != "test" }.mapTo(sortedSetOf()) { it.module }

    /** Direct and transitive main dependencies. */
    fun reachableFrom(module: String): Set<String> {
        val seen = sortedSetOf<String>()
        val open = ArrayDeque(mainDependenciesOf(module))
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            if (seen.add(next)) open += mainDependenciesOf(next)
        }
        return seen
    }

    /** Imports of other modules' packages in main sources. */
    fun importsOf(module: String): List<SourceImport> = sourcesOf(module).flatMap { (file, text) ->
        text.lineSequence().mapNotNull { IMPORT.find(it)?.groupValues?.get(1) }
            .map { SourceImport(file, module, it) }
            .filter { it.to != packageOf(module) }
            .toList()
    }

    companion object {
        private const val GROUP = "dev.bronzeshore"
        private const val ARTIFACT_PREFIX = "bronzeshore-"
        private val IMPORT = Regex("^\\s*import dev\\.bronzeshore\\.(\\w+)\\.")

        /** A module's package: its name without the characters that a package may not have. */
        fun packageOf(module: String): String = module.replace("-", "")

        fun ofRepository(): ModuleGraph = ModuleGraph(
            modules = project(RepositoryFiles.text("pom.xml")).children("modules")
                .flatMap { it.children("module") }.map { it.textContent.trim() },
            readPom = { RepositoryFiles.text("$it/pom.xml") },
            sourcesOf = { module ->
                if (RepositoryFiles.exists("$module/src/main")) {
                    RepositoryFiles.below("$module/src/main") { it.endsWith(".kt") }
                        .associateWith(RepositoryFiles::text)
                } else {
                    emptyMap()
                }
            },
        )

        private fun project(pom: String): Element = DocumentBuilderFactory.newInstance().newDocumentBuilder()
            .parse(pom.byteInputStream()).documentElement
    }
}

private fun Element.children(name: String): List<Element> = (0 until childNodes.length).map { childNodes.item(it) }
    .filter { it.nodeType == Node.ELEMENT_NODE && it.nodeName == name }
    .map { it as Element }

private fun Element.childText(name: String): String? = children(name).firstOrNull()?.textContent?.trim()
