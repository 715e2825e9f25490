/*
 * A gateway's counters and latency histograms, in the text exposition format.
 */
#ifndef QR_COUNTERS_H
#define QR_COUNTERS_H

#include "base/qr_base.h"

/* DEF(name, help) */
#define QR_COUNTER_LIST                                                        \
    DEF(calls, "whole requests of callers")                                    \
    DEF(answered, "answers of engines passed on whole")                        \
    DEF(refused_busy, "503: no engine has room in time")                       \
    DEF(refused_unready, "503: no configuration, or no engine at all")         \
    DEF(refused_stopping, "503: this process is stopping")                     \
    DEF(rejected, "400, 401, 404: not a call that the configuration allows")   \
    DEF(failed, "502: may have run, no whole answer")                          \
    DEF(timed_out, "504: no whole answer in the route's time")                 \
    DEF(cut, "answers broken off after they had begun")                        \
    DEF(gone, "callers that left before their answer")                         \
    DEF(sendings, "requests to engines")                                       \
    DEF(retries, "requests to engines beyond the first of a call")             \
    DEF(resumed, "streams taken up at another engine")                         \
    DEF(budget_spent, "retries not made for want of budget")                   \
    DEF(not_run, "calls that an engine turned away")                           \
    DEF(broken, "sendings that ended without a whole answer")                  \
    DEF(stalled, "sendings beside which another was tried for silence")        \
    DEF(taken_back, "of these, gone on with as the other gave nothing")        \
    DEF(rests_waited, "streams whose rest waited for an engine with room")     \
    DEF(stood_still, "times that this process did not run for a moment")       \
    DEF(unreadable, "engines' records that were read and are none")            \
    DEF(engine_ends, "ends of engines at which calls of ours broke off")       \
    DEF(trials, "sendings of requests under which an engine had ended")        \
    DEF(requests_held, "requests held back as they crash engines")             \
    DEF(refused_held, "503: such a request")                                   \
    DEF(ejections, "engines taken out of use for their failures")              \
    DEF(said_leaving, "engines that say in an answer that they leave")         \
    DEF(said_rest, "times that an engine turned a call away and wants rest")   \
    DEF(said_limit, "changes of the rate limits that engines name")            \
    DEF(waited, "calls that waited for an engine")                             \
    DEF(slots_asked, "slots asked for beside engines")                         \
    DEF(slots_denied, "of these, none was free")                               \
    DEF(slots_paced, "of these, the engine's rate limit was reached")          \
    DEF(slots_unanswered, "of these, no reply came")                           \
    DEF(directory, "address questions answered")

typedef enum QRCounter {
#define DEF(name, help) QR_COUNTER_##name,
    QR_COUNTER_LIST
#undef DEF
        QR_COUNTER_COUNT
} QRCounter;

#define QR_LATENCY_BUCKETS 16

/* Bounds double from 2 ms on; the last bucket has none. */
typedef struct QRLatency {
    uint64_t buckets[QR_LATENCY_BUCKETS];
    uint64_t count, sum_ms;
} QRLatency;

typedef struct QRCounters {
    uint64_t counts[QR_COUNTER_COUNT];
    QRLatency first_byte, whole;
} QRCounters;

void qr_latency_add(QRLatency *l, uint64_t ms);
void qr_counters_text(const QRCounters *c, GString *out);

#endif
