/** The message format between Bronzeshore processes. */
@file:OptIn(ExperimentalSerializationApi::class)

package dev.bronzeshore.peering

import dev.bronzeshore.core.Fault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A call or its reply; [id] correlates a reply with its call and is unique per connection. */
@Serializable
internal class Frame(
    val id: Long,
    val call: String,
    val isReply: Boolean,
    /** Wall-clock time after which the callee drops the call; 0 in replies. */
    val deadlineMs: Long,
    @ByteString val body: ByteArray = ByteArray(0),
    val fault: Fault? = null,
)
