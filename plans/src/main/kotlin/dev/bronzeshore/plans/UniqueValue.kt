/** A value that is checked for uniqueness. */
package dev.bronzeshore.plans

/** A value that must be unique, with the path of the field that holds it; null if it is missing or malformed. */
internal data class UniqueValue(val path: String, val value: String?)
