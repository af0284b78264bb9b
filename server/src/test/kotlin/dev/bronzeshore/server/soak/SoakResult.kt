/** The outcome of one seed; [report] has its events, its violations and the log lines about them. */
package dev.bronzeshore.server.soak

internal class SoakResult(val violations: List<SoakViolation>, val summary: String, val report: List<String>)
