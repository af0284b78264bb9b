/** Values of a document that must be unique. */
package dev.bronzeshore.plans

/** A value that must be unique, with the path of its field; null if missing or malformed. */
internal data class UniqueValue(val path: String, val value: String?)
