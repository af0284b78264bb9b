/** `check`: checks plans, allowances and settings offline. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.StrictJson
import dev.bronzeshore.plans.AllowanceListReader
import dev.bronzeshore.plans.PlanListReader
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.nio.file.Path

internal class CheckCommand : Command() {
    @field:Argument(metaVar = "FILE", required = true, multiValued = true, usage = "file to check; may be repeated")
    private var files: MutableList<String> = mutableListOf()

    @field:Option(name = "--json", usage = "prints the faults as JSON")
    var json: Boolean = false

    override val synopsis: String = "check FILE..."
    override val summary: String =
        "Checks plans, allowances and settings without a server, and reports all faults. The field \"plans\" or " +
            "\"allowances\" tells what a file holds. Allowances are checked against the plans of the same call, if any."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val documents = files.map { CheckedFile.parse(it, readText(Path.of(it)).bind()) }
        val planNames = documents.mapNotNull { it.planNames }.takeIf { it.isNotEmpty() }?.flatten()?.toSet()
        val faults = documents.flatMap { check(it, planNames, context).bind() }
        if (faults.isNotEmpty()) {
            raise(CtlFailure.refused(faults))
        }
        if (!json) {
            files.forEach { context.printOut("$it: no faults") }
        }
    }

    private fun check(
        document: CheckedFile,
        planNames: Set<String>?,
        context: CtlContext,
    ): Either<CtlFailure, List<Fault>> {
        val (file, text) = document
        val checkSettings = context.checkSettings
        return when {
            document.hasField("plans") || document.root == null ->
                PlanListReader().read(file, text).leftOrNull().orEmpty().right()

            document.hasField("allowances") ->
                AllowanceListReader(planNames).read(file, text).leftOrNull().orEmpty().right()

            checkSettings != null -> checkSettings(file, text).right()

            else ->
                CtlFailure.usage(
                    "The file holds neither plans nor allowances.",
                    "a file with the field \"plans\" or \"allowances\"",
                    file,
                ).left()
        }
    }

    /** A file to check; [root] is null if the text is not JSON, which the reader of the file reports as a fault. */
    private data class CheckedFile(val file: String, val text: String, val root: JsonElement?) {
        fun hasField(field: String): Boolean = (root as? JsonObject)?.containsKey(field) == true

        val planNames: List<String>?
            get() {
                val plans = (root as? JsonObject)?.get("plans") as? JsonArray ?: return null
                return plans.mapNotNull { ((it as? JsonObject)?.get("name") as? JsonPrimitive)?.content }
            }

        companion object {
            fun parse(file: String, text: String): CheckedFile {
                val root =
                    try {
                        StrictJson.parseToJsonElement(text)
                    } catch (e: SerializationException) {
                        null
                    }
                return CheckedFile(file, text, root)
            }
        }
    }
}
