/** The kinds of faults in a soak. */
package dev.bronzeshore.server.soak

/** Kinds with a [pauseMs] combine several faults, which need that time to show their effect. */
internal enum class SoakFaultKind(val pauseMs: Long = 0) {
    WORKER_CRASH,
    WORKER_RESTART,
    WORKER_RESTART_SILENT,
    DRAIN,
    DRAIN_CUT_FROM_STORE,

    /** A draining worker reaches nobody for some seconds, and the leader is killed meanwhile. */
    DRAIN_CUT_LEADER_KILL(6_000),

    /** The entry of a draining worker expires in an outage of the store, and the worker misses a poll later. */
    DRAIN_STORE_OUTAGE(6_000),
    LEADER_KILL,
    LEADER_FREEZE,
    LEADER_STOP,
    OTHER_KILL,
    ALL_KILL,
    WORKER_CUT_FROM_STORE,
    WORKER_CUT_FROM_LEADER,
    WORKER_CUT_FROM_SUCCESSOR,
    WORKER_CUT,
    START_ANSWERS_LOST,
    STORE_DOWN,
    STORE_SILENT,
    STORE_SLOW,
    STORE_ANSWERS_LOST,
    STORE_REFUSES_LEADER,
    STORE_SILENT_TO_LEADER,
    STORE_HISTORY_DROPPED,
}
