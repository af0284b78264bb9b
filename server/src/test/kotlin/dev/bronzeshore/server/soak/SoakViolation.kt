/** A broken rule: TWICE, LIMIT or LOST. */
package dev.bronzeshore.server.soak

internal class SoakViolation(val atMs: Long, val rule: String, val task: String, val text: String)
