/**
 * A state of the lease model, packed into bytes so that hundreds of thousands of them fit in memory.
 *
 * Sets of processes are bit masks; in a set of voters the bit after those of the processes stands for a worker. Times
 * are ages in units of the model, clamped where a longer one changes nothing.
 */
package dev.bronzeshore.leadership

/** What is not of one process: the store, the worker, writes under way, and what may still happen. */
internal enum class Shared {
    STORE_TERM,

    /** Mask of the stored voters; 0 if none are stored. */
    STORE_VOTERS,
    STORE_VERSION,

    /** Units until the deadline of the worker's lease; 0 if no run is alive. */
    LEASE_LEFT,
    LEASE_TERM,

    /** Highest fencing token that the worker has seen. */
    FENCE,

    /** The same for the worker that votes, which is another one; [ENDED] if this incarnation has ended. */
    VOTING_WORKER_FENCE,

    /** A grant that was decided on and has not arrived yet: its term, 0 if there is none, and units to its deadline. */
    REQUEST_TERM,
    REQUEST_LEFT,

    /** Number of the suspended process, from 1; 0 if none is. */
    SUSPENDED,
    RESTARTS_LEFT,
    WORKER_RESTARTS_LEFT,
    CHANGES_LEFT,
    SUSPENSIONS_LEFT,

    /** Writes of the voters without an answer that may still apply; 0 in all fields if there is none. */
    LATE_TERM_1,
    LATE_VERSION_1,
    LATE_VOTERS_1,
    LATE_TERM_2,
    LATE_VERSION_2,
    LATE_VOTERS_2,
}

/** What a process knows. All but [OBSERVED] and [PROMISED_BELOW] is 0 if it does not lead. */
internal enum class Own {
    /** Newest term that this boot has read; 0 before the first read. */
    OBSERVED,
    PROMISED_BELOW,
    HELD,

    /** Since the last call was sent that showed the term, or the last round in which a majority voted. */
    CONFIRMED_AGE,

    /** Since the present round was sent, and who has voted in it. */
    ASKED_AGE,
    GRANTED,

    /** Since the request was sent that the voting worker answered last. */
    WORKER_AGE,

    /** `VoterSet`: the voters known as stored, and writes that may apply later. */
    STORED,
    OPEN_VERSION_1,
    OPEN_VOTERS_1,
    OPEN_VERSION_2,
    OPEN_VOTERS_2,

    /** 1 while the newest open write awaits its answer. */
    IS_WRITING,

    /** 0 before the former voters are read, 1 until a majority has promised, then 2. */
    REVOCATION,
    FORMER,
    PROMISES,

    /**
     * Since the revocation was complete, or before that since the worker has promised, by a clock that stands still
     * during suspensions.
     */
    REVOKED_AGE,
}

/** Higher than any term. */
internal const val ENDED = 9

private val SHARED_FIELDS = Shared.entries.size
private val OWN_FIELDS = Own.entries.size

@JvmInline
internal value class LeaseState(val bytes: ByteArray) {
    constructor(processes: Int) : this(ByteArray(sizeOf(processes)))

    operator fun get(field: Shared): Int = bytes[field.ordinal].toInt()

    operator fun set(field: Shared, value: Int) {
        bytes[field.ordinal] = value.toByte()
    }

    operator fun get(process: Int, field: Own): Int = bytes[indexOf(process, field)].toInt()

    operator fun set(process: Int, field: Own, value: Int) {
        bytes[indexOf(process, field)] = value.toByte()
    }

    fun copy() = LeaseState(bytes.copyOf())

    private fun indexOf(process: Int, field: Own) = SHARED_FIELDS + process * OWN_FIELDS + field.ordinal

    companion object {
        fun sizeOf(processes: Int): Int = SHARED_FIELDS + processes * OWN_FIELDS
    }
}
