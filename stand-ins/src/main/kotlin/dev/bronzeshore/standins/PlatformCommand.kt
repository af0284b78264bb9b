/** Command `platform`: a small but complete platform in one process. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.StrictJson
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.io.path.readText

internal class PlatformCommand : StandInCommand() {
    @field:Option(name = "--file", required = true, metaVar = "FILE", usage = "JSON file with the platform")
    private lateinit var file: Path

    override fun plan(): PlatformPlan = StrictJson.decodeFromString<PlatformPlan>(file.readText())
}
