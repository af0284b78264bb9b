/** A value that is checked for uniqueness. */
package dev.bronzeshore.plans

/** A value that must be unique, with the path of the field that holds it. */
internal data class Named(val path: String, val value: String?)
