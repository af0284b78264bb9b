/** Invalid settings and the faults that are reported for them. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ListenAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against invalid settings that are accepted or reported one by one, without a place or with the token. */
class SettingsReaderTest {
    /** [replacement] takes the place of the text [replaced] in the valid settings. */
    internal data class Case(
        val name: String,
        val replaced: String,
        val replacement: String,
        val expected: List<String>,
    ) {
        override fun toString() = name
    }

    @Test
    fun `valid settings have no faults and the documented default`() {
        val settings = SettingsReader().read("s.json", VALID).getOrNull()
        assertEquals(400, settings?.auditRetentionDays)
        assertEquals(ListenAddress("10.0.0.1", 7000), settings?.callers)
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `faults in settings`(case: Case) {
        assertTrue(case.replaced in VALID) { "the valid settings do not contain the text to replace" }
        val faults = SettingsReader().read("s.json", VALID.replace(case.replaced, case.replacement)).faults()
        assertEquals(case.expected, faults.map { it.summary() })
        assertTrue(faults.all { !it.accepted.isNullOrBlank() })
    }

    @Test
    fun `a plain token in place of its hash is not included in the message`() {
        val faults = SettingsReader().read("s.json", VALID.replace(HASH, "open-sesame")).faults()
        assertEquals(listOf("1012 s.json:12 operatorTokenSha256"), faults.map { it.summary() })
        assertFalse("open-sesame" in faults.toString())
    }

    internal companion object {
        private const val HASH = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

        private val VALID = """
            {
              "processId": "entry-1",
              "dataCentre": "ridge", // a comment
              "region": "highland",
              "callers": {"host": "10.0.0.1", "port": 7000},
              "operators": {"host": "10.0.0.1", "port": 7080},
              "peers": {"host": "10.0.0.1", "port": 7200},
              "platform": {
                "tableUrl": "http://10.0.1.1:80",
                "vmListUrl": "http://10.0.1.2:80",
              },
              "operatorTokenSha256": "$HASH",
            }
        """.trimIndent()

        private fun case(name: String, replaced: String, replacement: String, vararg expected: String) =
            Case(name, replaced, replacement, expected.toList())

        @JvmStatic
        fun cases() = listOf(
            case("unknown field", "\"region\"", "\"zone\": \"z\", \"region\"", "1008 s.json:4 zone"),
            case(
                "unknown nested field",
                "\"port\": 7000",
                "\"port\": 7000, \"tls\": true",
                "1008 s.json:5 callers.tls",
            ),
            case("duplicate key", "\"region\"", "\"dataCentre\": \"valley\", \"region\"", "1007 s.json:4 dataCentre"),
            case("port too large", "7080", "65536", "1005 s.json:6 operators.port"),
            case("negative port", "7080", "-1", "1005 s.json:6 operators.port"),
            case("port beyond 32 bits", "7080", "4294967296", "1005 s.json:6 operators.port"),
            case("port as a string", "7200", "\"7200\"", "1012 s.json:7 peers.port"),
            case("port as a fraction", "7200", "7200.5", "1012 s.json:7 peers.port"),
            case("number as a name", "\"highland\"", "7", "1012 s.json:4 region"),
            case("list as an object", "{\"host\": \"10.0.0.1\", \"port\": 7200}", "[]", "1012 s.json:7 peers"),
            case("null", "\"highland\"", "null", "1012 s.json:4 region"),
            case("missing field", "\"region\": \"highland\",", "", "1011 s.json:1 (document)"),
            case(
                "missing nested field",
                "\"host\": \"10.0.0.1\", \"port\": 7200",
                "\"port\": 7200",
                "1011 s.json:7 peers",
            ),
            case(
                "host name",
                "{\"host\": \"10.0.0.1\", \"port\": 7200}",
                "{\"host\": \"entry one\", \"port\": 1}",
                "1012 s.json:7 peers.host",
            ),
            case("URL with a path", "http://10.0.1.1:80", "http://10.0.1.1:80/rows", "1012 s.json:9 platform.tableUrl"),
            case(
                "URL of another scheme",
                "http://10.0.1.2:80",
                "https://10.0.1.2",
                "1012 s.json:10 platform.vmListUrl",
            ),
            case("empty name", "\"entry-1\"", "\"\"", "1012 s.json:2 processId"),
            case("slash in a name", "\"ridge\"", "\"ridge/1\"", "1012 s.json:3 dataCentre"),
            case(
                "retention of no day",
                "\"region\"",
                "\"auditRetentionDays\": 0, \"region\"",
                "1005 s.json:4 auditRetentionDays",
            ),
            case("broken syntax", "\"highland\",", "\"highland\"", "1001 s.json:5"),
            case(
                "several faults at once, in the order of their lines",
                VALID.substringAfter("\"region\"").substringBefore("\"operatorTokenSha256\""),
                ": 7,\n\"callers\": {\"host\": \"10.0.0.1\", \"port\": 70000},\n" +
                    "\"peers\": {\"host\": \"10.0.0.1\"},\n\"platform\": {},\n",
                "1011 s.json:1 (document)",
                "1012 s.json:4 region",
                "1005 s.json:5 callers.port",
                "1011 s.json:6 peers",
                "1011 s.json:7 platform",
                "1011 s.json:7 platform",
            ),
        )
    }
}
