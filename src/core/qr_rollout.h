/*
 * Which wave of a rollout may switch now.
 *
 * Waves stand in the log with the change. A wave may go when every host of
 * the waves before it serves the new version or is away, and when those that
 * are away leave room. What is waited for never comes undone, so any number
 * of entries may decide it side by side, without a lock or a leader.
 */
#ifndef QR_ROLLOUT_H
#define QR_ROLLOUT_H

#include "qr_config.h"

/* Where an agent stands with its intent; DEF(name, text). */
#define QR_STAGE_LIST                                                          \
    DEF(IDLE, "idle")                                                          \
    DEF(FETCHING, "fetching")                                                  \
    DEF(LOADING, "loading")                                                    \
    DEF(READY, "ready")                                                        \
    DEF(DRAINING, "draining")                                                  \
    DEF(SWITCHING, "switching")                                                \
    DEF(SERVING, "serving")                                                    \
    DEF(FAILED, "failed")

typedef enum QRStage {
#define DEF(name, text) QR_STAGE_##name,
    QR_STAGE_LIST
#undef DEF
        QR_STAGE_COUNT
} QRStage;

const char *qr_stage_text(unsigned stage);

/* What is known of one host of the intent. */
typedef struct QRHostView {
    bool away;    /* unheard for longer than the lease, or leaving */
    bool unknown; /* not heard yet, and the lease has not run out since */
    const char *manifest; /* that it serves, "" if none */
    const char *why;
    unsigned stage; /* QRStage */
    int64_t slots;
} QRHostView;

typedef struct QRRollout {
    int wave;      /* the last wave that may switch, -1 if none */
    unsigned done; /* hosts that serve what the intent asks */
    unsigned away;
    bool complete;
    bool failed;
    char *why; /* why the next wave waits, "" if it does not */
} QRRollout;

/* 'views' stand in the order of the intent's hosts. */
void qr_rollout_look(const QRIntent *in, const QRHostView *views, QRRollout *r);
/*
 * The last wave that 'host' is told of. A host that serves nothing takes no
 * capacity away when it switches: it goes at once, unless the version has
 * failed somewhere. Waves that wait for capacity would else wait for hosts
 * that wait for their wave.
 */
int qr_rollout_grant(const QRIntent *in, const QRRollout *r,
                     const char *manifest, const char *host);
void qr_rollout_clear(QRRollout *r);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRRollout, qr_rollout_clear)

/* Hosts that may be away at once, given the slots of all of them. */
unsigned qr_rollout_spare(const QRIntent *in, int64_t total_slots,
                          int64_t most_slots);

#endif
