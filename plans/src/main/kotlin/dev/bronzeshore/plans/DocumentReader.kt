/** Reads a JSON document with comments into a model and reports all of its faults together. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.StrictJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement

/**
 * Reader for documents written by people.
 *
 * [rules] check single values; [checkDocument] checks conditions across several fields, and must tolerate fields that
 * are missing or of the wrong type, because it also runs on documents with other faults.
 */
public class DocumentReader<T>(
    private val serializer: KSerializer<T>,
    private val rules: List<FieldRule> = emptyList(),
    private val checkDocument: (document: Document) -> Unit = {},
) {
    /** Reads [text]; [file] is only used in the locations of faults. */
    public fun read(file: String, text: String): Either<NonEmptyList<Fault>, T> {
        val root =
            try {
                StrictJson.parseToJsonElement(text)
            } catch (e: SerializationException) {
                return nonEmptyListOf(syntaxFault(file, text, e)).left()
            }
        return check(Document(root, file, LineIndex(text)))
    }

    /** Checks content that did not come from a file; [source] names it in faults. */
    public fun validate(source: String, value: T): Either<NonEmptyList<Fault>, T> {
        val root = StrictJson.encodeToJsonElement(serializer, value)
        return check(Document(root, source, lines = null))
    }

    private fun check(document: Document): Either<NonEmptyList<Fault>, T> {
        document.reportDuplicateKeys()
        SchemaValidator(document, rules).check(document.root, serializer.descriptor, path = "", pathPattern = "")
        checkDocument(document)
        document.faults.toNonEmptyListOrNull()?.let { return it.left() }
        return decode(document.root).mapLeft { message ->
            document.report(ResultCode.INVALID_VALUE, "", message, "the documented fields")
            nonEmptyListOf(document.faults.first())
        }
    }

    private fun decode(root: JsonElement): Either<String, T> = try {
        StrictJson.decodeFromJsonElement(serializer, root).right()
    } catch (e: IllegalArgumentException) {
        e.message.orEmpty().lineSequence().first().left()
    }

    private fun syntaxFault(file: String, text: String, cause: SerializationException): Fault {
        val message = cause.message.orEmpty().lineSequence().first()
        val offset = OFFSET.find(message)?.groupValues?.get(1)?.toIntOrNull()
        val place = if (offset == null) file else "$file:${LineIndex.lineAt(text, offset)}"
        return Fault(ResultCode.MALFORMED_BODY, message, place, "JSON, with // and /* */ comments if wanted")
    }

    private companion object {
        val OFFSET = Regex("offset (\\d+)")
    }
}
