/*
 * What the verbs that ask an entry have in common.
 */
#ifndef QR_CLIENT_H
#define QR_CLIENT_H

#include "base/qr_json.h"

typedef struct QRClientArgs {
    GPtrArray *entries; /* char *, ip:port, borrowed */
    const char *file;   /* the one argument, or NULL */
    const char *output;
    int tries;
    bool json;
} QRClientArgs;

typedef enum QRClientNeeds {
    QR_CLIENT_NO_FILE,
    QR_CLIENT_FILE,
} QRClientNeeds;

/* Reads the command line; ends the process if it makes no sense. */
void qr_client_parse(int argc, char **argv, QRClientNeeds needs,
                     const char *about, QRClientArgs *a);
void qr_client_clear(QRClientArgs *a);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRClientArgs, qr_client_clear)

/*
 * Asks one entry. Returns its answer and sets 'status', or NULL with the
 * error set.
 */
json_object *qr_client_ask(const char *entry, const char *method,
                           const char *path, const char *body, unsigned *status,
                           GError **err);
/* Asks the entries in turn until one answers; prints why none did. */
json_object *qr_client_ask_any(const QRClientArgs *a, const char *method,
                               const char *path, const char *body,
                               unsigned *status);
/* Prints 'o' as JSON. */
void qr_client_print(json_object *o);

#endif
