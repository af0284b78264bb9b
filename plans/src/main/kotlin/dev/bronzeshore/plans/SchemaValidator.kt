/** Compares a JSON document with the serial descriptor of its model and reports every difference. */
@file:OptIn(ExperimentalSerializationApi::class)

package dev.bronzeshore.plans

import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Walks [document] along a serial descriptor; unlike a decoder it does not stop at the first fault. */
internal class SchemaValidator(private val document: Document, rules: List<FieldRule>) {
    private val rulesByPathPattern = rules.groupBy { it.pathPattern }

    fun check(element: JsonElement, descriptor: SerialDescriptor, path: String, pathPattern: String) {
        when {
            element is JsonNull && descriptor.isNullable -> return
            descriptor.isInline -> check(element, descriptor.getElementDescriptor(0), path, pathPattern)
            else -> checkKind(element, descriptor, path, pathPattern)
        }
    }

    private fun checkKind(element: JsonElement, descriptor: SerialDescriptor, path: String, pathPattern: String) {
        when (descriptor.kind) {
            StructureKind.CLASS, StructureKind.OBJECT -> checkObject(element, descriptor, path, pathPattern)
            StructureKind.LIST -> checkList(element, descriptor, path, pathPattern)
            StructureKind.MAP -> checkMap(element, descriptor, path, pathPattern)
            SerialKind.ENUM -> checkEnum(element, descriptor, path)
            is PrimitiveKind -> checkPrimitive(element, descriptor.kind as PrimitiveKind, path, pathPattern)
            else -> return
        }
    }

    private fun checkObject(element: JsonElement, descriptor: SerialDescriptor, path: String, pathPattern: String) {
        if (element !is JsonObject) {
            reportType(element, path, "an object with ${descriptor.elementNames.joinToString(", ")}")
            return
        }
        for ((key, value) in element) {
            val index = descriptor.elementNames.indexOf(key)
            if (index < 0) {
                val accepted = "one of ${descriptor.elementNames.joinToString(", ")}"
                document.report(
                    ResultCode.UNKNOWN_FIELD,
                    childPath(path, key),
                    "The field \"$key\" is not known here.",
                    accepted,
                )
            } else {
                check(value, descriptor.getElementDescriptor(index), childPath(path, key), childPath(pathPattern, key))
            }
        }
        for (index in 0 until descriptor.elementsCount) {
            val name = descriptor.getElementName(index)
            if (name !in element && !descriptor.isElementOptional(index)) {
                val accepted = "\"$name\": ${describe(descriptor.getElementDescriptor(index))}"
                document.report(ResultCode.MISSING_FIELD, path, "The field \"$name\" is missing.", accepted)
            }
        }
    }

    private fun checkList(element: JsonElement, descriptor: SerialDescriptor, path: String, pathPattern: String) {
        if (element !is JsonArray) {
            reportType(element, path, "a list")
            return
        }
        element.forEachIndexed { index, item ->
            check(item, descriptor.getElementDescriptor(0), "$path[$index]", "$pathPattern[]")
        }
    }

    private fun checkMap(element: JsonElement, descriptor: SerialDescriptor, path: String, pathPattern: String) {
        if (element !is JsonObject) {
            reportType(element, path, "an object")
            return
        }
        for ((key, value) in element) {
            check(value, descriptor.getElementDescriptor(1), childPath(path, key), "$pathPattern{}")
        }
    }

    private fun checkEnum(element: JsonElement, descriptor: SerialDescriptor, path: String) {
        val accepted = "one of ${descriptor.elementNames.joinToString(", ") { "\"$it\"" }}"
        if (element !is JsonPrimitive || !element.isString) {
            reportType(element, path, accepted)
        } else if (element.content !in descriptor.elementNames) {
            document.report(ResultCode.INVALID_VALUE, path, "\"${element.content}\" is not accepted here.", accepted)
        }
    }

    private fun checkPrimitive(element: JsonElement, kind: PrimitiveKind, path: String, pathPattern: String) {
        if (element !is JsonPrimitive || element is JsonNull || element.isString != (kind == PrimitiveKind.STRING)) {
            reportType(element, path, describe(kind))
            return
        }
        val representable =
            when (kind) {
                PrimitiveKind.LONG -> element.longOrNull != null
                PrimitiveKind.INT -> element.intOrNull != null
                PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> element.doubleOrNull != null
                PrimitiveKind.BOOLEAN -> element.booleanOrNull != null
                else -> true
            }
        if (representable) {
            applyRules(element, path, pathPattern)
        } else if (WHOLE_NUMBER.matches(element.content) && kind != PrimitiveKind.BOOLEAN) {
            val message = "The number ${element.content} is out of range."
            document.report(ResultCode.INVALID_SIZE, path, message, describe(kind))
        } else {
            reportType(element, path, describe(kind))
        }
    }

    private fun applyRules(element: JsonPrimitive, path: String, pathPattern: String) {
        for (rule in rulesByPathPattern[pathPattern].orEmpty().filterNot { it.holds(element) }) {
            val message = if (rule.secret) "The value is not accepted here." else "The value $element is not accepted."
            document.report(rule.code, path, message, rule.accepted)
        }
    }

    private fun reportType(element: JsonElement, path: String, accepted: String) {
        val actual =
            when {
                element is JsonObject -> "an object"
                element is JsonArray -> "a list"
                element is JsonNull -> "null"
                (element as JsonPrimitive).isString -> "a string"
                element.booleanOrNull != null -> "a truth value"
                element.doubleOrNull != null -> "the number ${element.content}"
                else -> "an unquoted word"
            }
        document.report(ResultCode.INVALID_VALUE, path, "This is $actual, which has the wrong type.", accepted)
    }

    private fun describe(descriptor: SerialDescriptor): String = describe(descriptor.kind)

    private fun describe(kind: SerialKind): String = when (kind) {
        PrimitiveKind.STRING -> "a string in double quotes"
        PrimitiveKind.LONG -> "a whole number up to ${Long.MAX_VALUE}"
        PrimitiveKind.INT -> "a whole number up to ${Int.MAX_VALUE}"
        PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> "a number"
        PrimitiveKind.BOOLEAN -> "true or false"
        StructureKind.LIST -> "a list"
        SerialKind.ENUM -> "one of the listed words"
        else -> "an object"
    }

    private companion object {
        val WHOLE_NUMBER = Regex("-?\\d+")
    }
}
