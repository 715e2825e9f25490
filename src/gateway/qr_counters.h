/*
 * A gateway's counters and latency histograms, in the text exposition format.
 */
#ifndef QR_COUNTERS_H
#define QR_COUNTERS_H

#include "base/qr_base.h"

/* DEF(name, help) */
#define QR_COUNTER_LIST                                                        \
    DEF(calls, "requests of callers that arrived whole")                       \
    DEF(answered, "answers of engines relayed whole")                          \
    DEF(refused_busy, "503: no engine has a free slot in time")                \
    DEF(refused_unready, "503: no configuration, or no engine at all")         \
    DEF(refused_deadline,                                                      \
        "503: the answer would not be complete before the deadline")           \
    DEF(refused_placement,                                                     \
        "of refused_unready, no engine in an allowed, open zone")              \
    DEF(refused_stopping, "503: this process is stopping")                     \
    DEF(rejected, "400, 401, 404: not a call that the configuration allows")   \
    DEF(failed, "502: the call may have run, but no whole answer arrived")     \
    DEF(timed_out, "504: no whole answer within the route's timeout")          \
    DEF(cut, "answers aborted after their start was relayed")                  \
    DEF(gone, "callers that disconnected before their answer")                 \
    DEF(sendings, "requests to engines")                                       \
    DEF(retries, "requests to engines beyond the first of a call")             \
    DEF(resumed, "streams resumed at another engine")                          \
    DEF(budget_spent, "retries not made because the retry budget was spent")   \
    DEF(not_run, "calls that an engine rejected without running them")         \
    DEF(broken, "requests to engines that ended without a whole answer")       \
    DEF(outdated,                                                              \
        "requests cancelled before an engine began them, as its version was "  \
        "about to be too old")                                                 \
    DEF(begun_outdated,                                                        \
        "answers that began on a version that was too old by then")            \
    DEF(bounds_restarted, "restarts of version bounds after a store outage")   \
    DEF(stalled,                                                               \
        "requests to silent engines for which another engine was tried")       \
    DEF(taken_back,                                                            \
        "of these, resumed because the other engine did not answer")           \
    DEF(rests_waited,                                                          \
        "streams whose remainder waited for an engine with a free slot")       \
    DEF(streams_slow, "streams that could not end in time at their engine")    \
    DEF(streams_moved, "of these, moved to another engine")                    \
    DEF(moves_refused,                                                         \
        "of these, not moved when first found: no engine, retry or attempt")   \
    DEF(unread_aborted,                                                        \
        "answers aborted as unread bytes exceed their share of memory")        \
    DEF(suspensions, "times that this process did not run for a moment")       \
    DEF(unreadable, "engine records of the store that could not be parsed")    \
    DEF(engine_ends, "ends of engine runs that broke calls of this gateway")   \
    DEF(trials, "retries of requests during which an engine had ended")        \
    DEF(requests_held,                                                         \
        "requests and prompt parts held because they crash engines")           \
    DEF(turns_given,                                                           \
        "503: return when a slot is expected to be free, or an engine ready")  \
    DEF(turns_full,                                                            \
        "503: no capacity expected within the time that the caller can use")   \
    DEF(refused_held, "503: a request that is held, or has a part that is")    \
    DEF(ejections, "engines ejected because of their failures")                \
    DEF(said_leaving, "engines whose answer announced that they leave")        \
    DEF(said_rest,                                                             \
        "times that an engine rejected a call and asked for a pause")          \
    DEF(said_limit, "changes of the rate limits that engines announce")        \
    DEF(waited, "calls that waited for an engine")                             \
    DEF(hints_bad, "calls whose stated tokens or length hint are not usable")  \
    DEF(slots_asked, "slots requested for calls")                              \
    DEF(slots_denied, "of these, denied")                                      \
    DEF(slots_denied_open, "of these, as no slot was free")                    \
    DEF(slots_denied_unread,                                                   \
        "of these, as too many prompt tokens were unread")                     \
    DEF(slots_denied_yields, "of these, in favour of other calls")             \
    DEF(slots_yielded_rank,                                                    \
        "denied here as coordinator, in favour of a more urgent rank")         \
    DEF(slots_yielded_team,                                                    \
        "denied here as coordinator, in favour of teams below their share")    \
    DEF(slots_yielded_claim,                                                   \
        "denied here as coordinator, in favour of long prompts")               \
    DEF(slots_claimed, "denied slots that are then kept for the call")         \
    DEF(slots_paced, "of these, denied because of the engine's rate limit")    \
    DEF(slots_unanswered, "of these, without a reply")                         \
    DEF(directory, "address queries answered")

typedef enum QRCounter {
#define DEF(name, help) QR_COUNTER_##name,
    QR_COUNTER_LIST
#undef DEF
        QR_COUNTER_COUNT
} QRCounter;

#define QR_LATENCY_BUCKETS 16

/* The upper bounds of the buckets double from 2 ms on; the last has none. */
typedef struct QRLatency {
    uint64_t buckets[QR_LATENCY_BUCKETS];
    uint64_t count, sum_ms;
} QRLatency;

typedef struct QRCounters {
    uint64_t counts[QR_COUNTER_COUNT];
    QRLatency first_byte, whole;
} QRCounters;

void qr_latency_add(QRLatency *l, uint64_t ms);
/* Appends all counters and histograms to 'out' as metrics text. */
void qr_counters_text(const QRCounters *c, GString *out);

#endif
