/** Faults of in-memory workers, which tests change while they run. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.cluster.TaskName

public class WorkerFaults {
    /** Fraction of the start requests that get no response and are applied after a random delay. */
    public var delayedRequestShare: Double = 0.0

    /** Upper bound of that delay. */
    public var maxRequestDelayMs: Long = 12_000

    /** Workers that no call reaches while they keep running. */
    public val unreachable: MutableSet<String> = HashSet()

    /** Workers that the calls of one leader do not reach, by the name of the leader; others reach them. */
    public val unreachableFrom: MutableMap<String, Set<String>> = HashMap()

    /** Workers whose machine refuses all connections, whether they run or have crashed. */
    public val refusing: MutableSet<String> = HashSet()

    /** Workers that close each connection after their answer, without announcing it. */
    public val closingConnections: MutableSet<String> = HashSet()

    /** Delay of a response to a request for a report after the worker has composed it; later ones may overtake it. */
    public var reportDelayMs: () -> Long = { 0 }

    /** Workers on which every run fails shortly after its start. */
    public val failing: MutableSet<String> = HashSet()

    /** Workers for which each call ends with an exception, as from a fault in the client. */
    public val failingCalls: MutableSet<String> = HashSet()

    /** Workers whose reports leave out running tasks, as if their entries could not be decoded. */
    public val malformedReports: MutableSet<String> = HashSet()

    /** The worker crashes on its own while the start of the task is on its way; the run never begins. */
    public var crashesBeforeStart: (TaskName) -> Boolean = { false }

    /** Tasks that crash each worker which starts them. */
    public var crashesItsWorker: (TaskName) -> Boolean = { false }

    /** Time after its start at which such a task crashes its worker. */
    public var crashDelayMs: Long = 10

    /** A worker that a task has crashed is back at once under its id, instead of later under another one. */
    public var keepsIdAfterCrash: Boolean = false

    /** Calls to a worker that a task has crashed get no answer, instead of being refused at once. */
    public var isCrashSilent: Boolean = false

    /** Polls that wait at a worker which restarts time out, instead of breaking at once. */
    public var isRestartSilent: Boolean = false

    /** Workers on which no run advances. */
    public val stalled: MutableSet<String> = HashSet()
}
