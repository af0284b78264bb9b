/** Parsing of valid and invalid settings of a cluster process. */
package dev.bronzeshore.server.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

class ClusterSettingsFileTest {
    private val template = Files.readString(Path.of("../deploy/settings.json"))

    /** Renders the template as the platform does, with test values. */
    private fun rendered(address: String): String = Regex("\\{\\{([^}|]+)(\\|json)?}}").replace(template) { match ->
        val isText = match.groupValues[2].isNotEmpty()
        when {
            // Begin or end of a section, which is rendered if its value is true.
            match.groupValues[1].first() in "#/" -> ""
            "addr" in match.groupValues[1] && isText -> "\"$address\""
            "address" in match.groupValues[1] || match.groupValues[1] == "hint" -> "\"$address\""
            isText -> "\"name\""
            "ip_addr" == match.groupValues[1] -> "10.0.0.1"
            else -> "5"
        }
    }

    /** Guards against a template that the process cannot read. */
    @Test
    fun `the rendered deployment template is valid`() {
        val settings = readClusterSettings(rendered("10.0.0.1:80"))
        assertEquals(5, settings.getOrNull()?.peers?.port)
        assertEquals(5_000L, settings.getOrNull()?.bounds?.stopSignalGraceMs)
        assertEquals(5L, settings.getOrNull()?.bounds?.keyWithdrawalMs)
    }

    /** Guards against validation that stops at the first error. */
    @Test
    fun `all errors are reported at once`() {
        val errors = readClusterSettings(rendered("nowhere")).swap().getOrNull().orEmpty()
        assertTrue(errors.size >= 3, errors.toString())
    }
}
