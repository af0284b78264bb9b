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

    /** The port of a worker that is up refuses connections for a while; also of several workers at once. */
    WORKER_REFUSES,
    WORKERS_REFUSE,

    /** A draining worker refuses connections for a while, before, while or after its entry has expired. */
    DRAIN_REFUSES,
    DRAIN_EXPIRED_REFUSES(6_000),

    /** Several workers drain one after the other and leave, or are replaced. */
    DRAIN_ROW,
    DRAIN_ROW_LEADER_KILL(3_000),
    CONNECTIONS_RESET,
    ALL_CONNECTIONS_RESET,

    /** Open connections to workers deliver nothing further; their requests are lost or executed seconds later. */
    CONNECTIONS_SILENT,
    CONNECTIONS_SILENT_LATE,
    ALL_CONNECTIONS_SILENT_LATE,

    /** One direction of the link to a worker is cut. */
    ANSWERS_LOST,
    REQUESTS_LOST,
    ANSWERS_DELAYED,
    ALL_ANSWERS_DELAYED,

    /** A worker leaves, and another one starts at its address; a worker restarts at another address. */
    PORT_REUSED,
    RESTART_ELSEWHERE,

    /** Another worker starts at the address of one that is up, draining and served on open connections only. */
    PORT_REUSED_WHILE_UP,
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
    STORE_CONNECTIONS_RESET,
    STORE_CONNECTIONS_SILENT,
    STORE_CONNECTIONS_SILENT_LATE,
    STORE_PORT_REFUSES,
    STORE_SILENT,
    STORE_SLOW,
    STORE_ANSWERS_LOST,
    STORE_REFUSES_LEADER,
    STORE_SILENT_TO_LEADER,
    STORE_HISTORY_DROPPED,

    /** The machine of the leader is suspended while entries of draining workers expire, which are then cut off. */
    SUSPENDED_ENTRIES_EXPIRE(6_000),

    /** The machine of the leader is suspended, and its successors are killed before it continues. */
    SUSPENDED_LEADERS_KILLED(4_000),

    /** The machine of the leader is suspended while the store turns it away, and goes on without the store. */
    SUSPENDED_CUT_FROM_STORE(4_000),

    /** The machines of the leader and of its successor are suspended in turn. */
    SUSPENDED_IN_TURN(5_000),

    /** The store answers transactions late or not at all, while leaders are killed in a row. */
    STORE_ANSWERS_LATE_KILLS(4_000),
    STORE_ANSWERS_LOST_KILLS(4_000),

    /** The store turns some processes away and then others, while leaders are killed in a row. */
    STORE_TURNS_AWAY_KILLS(5_000),

    /** The store loses its history while workers leave and leaders are killed. */
    STORE_HISTORY_LOST_KILLS(4_000),

    /** Two workers start again, each at the address of the other one. */
    WORKERS_SWAP_ADDRESSES(3_000),

    /** Workers start again under their ids before their entries change. */
    WORKERS_RESTART_UNLISTED(2_000),

    /** Workers leave one after the other and are replaced at new addresses. */
    WORKERS_REPLACED(4_000),

    /** Processes are killed in a row and start again at once under their own ports. */
    PROCESSES_RESTART_AT_ONCE(3_000),

    /** All processes are stopped and started in turn, read their settings again, or get other configurations. */
    ROLLING_STOP(5_000),
    RELOADS,
    CONFIG_STORM(1_000),

    /** All of these at once, and the leader is killed. */
    ROLLING_STOP_CHANGES_KILL(6_000),

    /** The leader's data centre, its processes and workers, is cut off from the store and all others, silently. */
    DATA_CENTRE_CUT(15_000),

    /** So is a data centre without the leader. */
    DATA_CENTRE_CUT_OTHER(15_000),

    /** So is a random group of processes and workers that has the leader in it. */
    GROUPS_CUT(15_000),

    /** The leader's data centre is cut off, and its successor is killed. */
    DATA_CENTRE_CUT_LEADER_KILL(15_000),

    /** The leader's data centre is cut off, and the leader's machine is suspended meanwhile. */
    DATA_CENTRE_CUT_SUSPENSION(15_000),

    /** The store is down for all, for longer than the longest lease; a minority of the processes is killed. */
    STORE_DOWN_LONG(20_000),
}
