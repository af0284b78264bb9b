/** The form of JSON that is printed for people and scripts. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.WireJson
import kotlinx.serialization.json.Json

/** Complete and indented: scripts need not know the default values of fields. */
internal val OutputJson: Json =
    Json(WireJson) {
        encodeDefaults = true
        prettyPrint = true
    }
