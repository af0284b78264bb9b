/** The unit of exchange between bronzeshore processes. */
@file:OptIn(ExperimentalSerializationApi::class)

package dev.bronzeshore.peering

import dev.bronzeshore.core.Fault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A call or its reply; [id] matches a reply with its call on one connection. */
@Serializable
internal class Frame(
    val id: Long,
    val call: String,
    val isReply: Boolean,
    /** The callee drops a call whose deadline has passed; 0 in replies. */
    val deadlineMs: Long,
    @ByteString val body: ByteArray = ByteArray(0),
    val fault: Fault? = null,
)
