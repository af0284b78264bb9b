/** Numbered result codes shown to callers and operators; docs/result-codes.md lists the same table. */
package dev.bronzeshore.core

/** Whether the work may have run when a call ends with a given code. */
public enum class Outcome { DONE, NOT_RUN, UNKNOWN }

/**
 * A numbered result and the HTTP status that it is returned with.
 *
 * Numbers are stable: 1xxx bad input, 2xxx refused before running, 3xxx outcome unknown, 4xxx conflicts and access,
 * 5xxx internal.
 */
public enum class ResultCode(
    public val number: Int,
    public val httpStatus: Int,
    public val outcome: Outcome,
    public val meaning: String,
) {
    OK(0, 200, Outcome.DONE, "The call succeeded."),

    MALFORMED_BODY(1001, 400, Outcome.NOT_RUN, "The body is not valid JSON of the expected shape."),
    BODY_TOO_LARGE(1002, 413, Outcome.NOT_RUN, "The body exceeds the documented limit."),
    UNKNOWN_PLAN(1003, 400, Outcome.NOT_RUN, "The plan is not in the current list of plans."),
    UNKNOWN_KIND(1004, 400, Outcome.NOT_RUN, "The plan does not list this kind of work."),
    INVALID_SIZE(1005, 400, Outcome.NOT_RUN, "A size is negative, zero where it must not be, or out of range."),
    INVALID_DEADLINE(1006, 400, Outcome.NOT_RUN, "A deadline is malformed or out of range."),
    DUPLICATE_KEY(1007, 400, Outcome.NOT_RUN, "The same key appears twice."),
    UNKNOWN_FIELD(1008, 400, Outcome.NOT_RUN, "A field is not known here."),
    UNKNOWN_SERVICE(1009, 404, Outcome.NOT_RUN, "No endpoint offers this service."),
    UNKNOWN_JOB(1010, 404, Outcome.NOT_RUN, "No job has this id, or it belongs to another plan."),
    MISSING_FIELD(1011, 400, Outcome.NOT_RUN, "A required field or header is missing."),
    INVALID_VALUE(1012, 400, Outcome.NOT_RUN, "A value is outside of what is accepted."),
    UNKNOWN_ROUTE(1013, 404, Outcome.NOT_RUN, "No such path on this port."),

    FITS_NOWHERE(2001, 422, Outcome.NOT_RUN, "The work fits on no worker of the fleet, even an empty one."),
    OVER_ALLOWANCE(2002, 422, Outcome.NOT_RUN, "The work alone exceeds the plan's allowance."),
    DEADLINE_PASSED(2003, 408, Outcome.NOT_RUN, "The latest start deadline passed before the work could start."),
    QUEUE_FULL(2004, 429, Outcome.NOT_RUN, "The queue for this kind is full; retry after the given time."),
    SHARE_EXHAUSTED(2005, 429, Outcome.NOT_RUN, "The plan's share is in use; retry after the given time."),
    NO_ENDPOINT(2006, 503, Outcome.NOT_RUN, "No endpoint could be reached."),
    STORE_UNAVAILABLE(2007, 503, Outcome.NOT_RUN, "The table service is unavailable and the write was not sent."),
    NOT_OWNER(2008, 503, Outcome.NOT_RUN, "No process owns the data centre at the moment."),
    STOPPING(2009, 503, Outcome.NOT_RUN, "This process is stopping; another one will answer."),
    CANCELLED(2010, 409, Outcome.NOT_RUN, "The work was cancelled before it started."),
    NOT_READY(2011, 503, Outcome.NOT_RUN, "This process has no configuration yet."),
    MEMORY_FULL(2012, 429, Outcome.NOT_RUN, "The accepted jobs take all memory; retry after the given time."),
    NO_LEADER(2013, 503, Outcome.NOT_RUN, "No process leads, so it is not known whether there is memory for the job."),

    OUTCOME_UNKNOWN(3001, 502, Outcome.UNKNOWN, "The work was sent and its outcome is not known."),
    WRITE_UNKNOWN(
        3002,
        503,
        Outcome.UNKNOWN,
        "A write was sent and its outcome is not known; repeat with the same key.",
    ),
    LEASE_LOST(3003, 502, Outcome.UNKNOWN, "The worker was lost while a part that may not be repeated was running."),
    CANCELLED_LATE(
        3004,
        409,
        Outcome.UNKNOWN,
        "The work was cancelled after it may have started; no part runs any more.",
    ),

    VERSION_CONFLICT(4001, 409, Outcome.NOT_RUN, "The current version differs from the expected one."),
    KEY_REUSED(4002, 409, Outcome.NOT_RUN, "The idempotency key was used for different content."),
    UNAUTHORIZED(4003, 401, Outcome.NOT_RUN, "The token is missing or unknown."),
    FORBIDDEN(4004, 403, Outcome.NOT_RUN, "The token does not permit this."),
    TASK_FAILED(4005, 422, Outcome.DONE, "The work ran and reported a failure."),
    JOB_NOT_ENDED(4006, 409, Outcome.UNKNOWN, "The job has not ended yet, so it has no result."),

    INTERNAL(5001, 500, Outcome.UNKNOWN, "An internal fault; the log has the details."),
    PEER_UNAVAILABLE(5002, 503, Outcome.UNKNOWN, "Another process did not answer in time."),
    MALFORMED_FRAME(5003, 400, Outcome.NOT_RUN, "A frame between processes was malformed; the connection was closed."),
    PLATFORM_ERROR(5004, 502, Outcome.UNKNOWN, "The platform answered with an error."),
}
