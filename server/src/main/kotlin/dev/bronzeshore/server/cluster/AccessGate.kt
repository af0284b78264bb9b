/** Decides which calls a process serves, and reports those that it refuses. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.accounts.ConfigProof
import dev.bronzeshore.accounts.decideAccess
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.AccessDecision
import dev.bronzeshore.core.cluster.ClusterConfig
import dev.bronzeshore.core.cluster.Queue

internal class AccessGate(private val configProof: ConfigProof, private val countRefusal: (reason: String) -> Unit) {
    private val log = EventLog("process")

    fun decide(current: ClusterConfig, queue: Queue, key: String?): AccessDecision {
        val decision = decideAccess(current.accounts, queue, key) { configProof.isRecent }
        if (decision !is AccessDecision.Granted) {
            val reason = if (decision is AccessDecision.UnknownKey) "unknown_key" else "unproven_config"
            countRefusal(reason)
            log.event(
                "call_refused",
                "queue" to queue.terms.queue,
                "reason" to reason,
                "version" to current.version,
                "proof_age_ms" to configProof.ageMs,
            )
        }
        return decision
    }
}
