/** What gangs that do not start wait for. */
package dev.bronzeshore.scheduler

internal enum class GangWait {
    /** Its account's limit. */
    LIMIT,

    /** Advice on enough workers. */
    ADVICE,

    /** More or larger workers: those that there are cannot hold it, even when they are idle. */
    ROOM,

    /** Runs that may not end, so that nothing is kept for the gang. */
    UNKNOWN_END,

    /** Gangs before it have reserved as much as all gangs may. */
    SHARE,

    /** The pause after a reservation in which it could not start. */
    PAUSE,

    /** The tasks on the workers that it has reserved. */
    WORKERS,

    /** New tickets for its workers, which are free. */
    TICKETS,
}
