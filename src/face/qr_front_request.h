/*
 * Requests of callers and operators: from HTTP to events.
 */
#ifndef QR_FRONT_REQUEST_H
#define QR_FRONT_REQUEST_H

#include "core/qr_event.h"

struct MHD_Connection;

/*
 * The event that a whole request stands for. NULL if it stands for none:
 * 'findings' is then JSON that says all that is wrong with it.
 */
QREvent *qr_front_event(struct MHD_Connection *conn, const char *method,
                        const char *url, const GByteArray *body,
                        char **findings);

#endif
