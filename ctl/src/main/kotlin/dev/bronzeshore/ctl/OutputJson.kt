/** Format of printed JSON. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.WireJson
import kotlinx.serialization.json.Json

/** Indented, and with default values, so that scripts need not know them. */
internal val OutputJson: Json =
    Json(WireJson) {
        encodeDefaults = true
        prettyPrint = true
    }
