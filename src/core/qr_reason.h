/*
 * Why a call was not answered; on the wire and in answers to callers.
 */
#ifndef QR_REASON_H
#define QR_REASON_H

/* DEF(name, text, HTTP status when it is the final answer). */
#define QR_REASON_LIST                                                         \
    DEF(NONE, "none", 200)                                                     \
    DEF(BUSY, "busy", 503)                                                     \
    DEF(LEAVING, "leaving", 503)                                               \
    DEF(SWITCHING, "switching_version", 503)                                   \
    DEF(NOT_HOME, "not_home", 503)                                             \
    DEF(EXPIRED, "deadline_passed", 504)                                       \
    DEF(DUPLICATE, "already_taken", 409)                                       \
    DEF(NO_VERSION, "nothing_served", 503)                                     \
    DEF(BACKEND_DOWN, "backend_server_down", 503)                              \
    DEF(TABLE_FULL, "too_many_remembered", 503)                                \
    DEF(QUEUE_FULL, "queue_full", 429)                                         \
    DEF(NO_TIME, "deadline_cannot_be_met", 429)                                \
    DEF(DISPLACED, "displaced_by_others_share", 429)                           \
    DEF(NO_SERVICE, "no_such_service", 404)                                    \
    DEF(NO_CAPACITY, "team_has_no_capacity", 403)                              \
    DEF(NO_TICKET, "ticket_needed", 428)                                       \
    DEF(BAD_TICKET, "ticket_not_usable", 409)                                  \
    DEF(HOME_AWAY, "home_away", 503)                                           \
    DEF(LOST, "connection_lost", 502)                                          \
    DEF(CUT, "answer_cut", 502)                                                \
    DEF(STOPPING, "entry_stopping", 503)                                       \
    DEF(TOO_LARGE, "answer_too_large", 502)

typedef enum QRReason {
#define DEF(name, text, status) QR_REASON_##name,
    QR_REASON_LIST
#undef DEF
        QR_REASON_COUNT
} QRReason;

const char *qr_reason_text(unsigned reason);
unsigned qr_reason_status(unsigned reason);

#endif
