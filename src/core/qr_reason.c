/*
 * Why a call was not answered; on the wire and in answers to callers.
 */
#include "qr_reason.h"

static const struct {
    const char *text;
    unsigned status;
} reasons[] = {
#define DEF(name, text, status) {text, status},
    QR_REASON_LIST
#undef DEF
};

const char *qr_reason_text(unsigned reason)
{
    return reason < QR_REASON_COUNT ? reasons[reason].text : "unsaid";
}

unsigned qr_reason_status(unsigned reason)
{
    return reason < QR_REASON_COUNT ? reasons[reason].status : 503;
}
