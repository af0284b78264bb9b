/** Shared serializer settings: strict JSON for files edited by people, lenient JSON and CBOR between programs. */
@file:OptIn(ExperimentalSerializationApi::class)

package dev.bronzeshore.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json

/** JSON written by people: comments and trailing commas are accepted, unknown fields are not. */
public val StrictJson: Json =
    Json {
        allowComments = true
        allowTrailingComma = true
        ignoreUnknownKeys = false
        encodeDefaults = true
    }

/** JSON between programs: unknown fields are skipped so that versions can differ during a rolling restart. */
public val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

/** CBOR between bronzeshore processes. */
public val WireCbor: Cbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }
