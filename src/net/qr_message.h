/*
 * Incremental reader of HTTP/1.1 messages, based on http-parser.
 */
#ifndef QR_MESSAGE_H
#define QR_MESSAGE_H

#include "qr_grammar.h"

#include <http_parser.h>

/* Why a message could not be read. */
typedef enum QRMessageFault {
    QR_MESSAGE_OK,
    QR_MESSAGE_MALFORMED,
    QR_MESSAGE_HEAD_TOO_LARGE,
    QR_MESSAGE_BODY_TOO_LARGE,
    QR_MESSAGE_NO_MEMORY, /* set by a handler */
} QRMessageFault;

typedef struct QRMessage QRMessage;

typedef struct QRMessageHandlers {
    /* The head is complete. Returns true if no body follows. A handler of the
       head or the body may end the message by qr_message_fail(). */
    bool (*head)(QRMessage *m, void *owner);
    void (*body)(QRMessage *m, void *owner, const char *data, size_t len);
    void (*end)(QRMessage *m, void *owner);
} QRMessageHandlers;

struct QRMessage {
    http_parser parser;
    QRGrammar grammar;
    const QRMessageHandlers *handlers;
    void *owner;
    QRHeaders headers;
    GString *target;       /* request target; empty for answers */
    GString *name, *value; /* header field being read */
    bool in_value;
    bool head_done, done;
    size_t head_bytes, head_max;
    size_t body_bytes, body_max; /* body_max 0: unlimited */
    QRMessageFault fault;
};

void qr_message_init(QRMessage *m, enum http_parser_type type,
                     const QRMessageHandlers *handlers, void *owner);
void qr_message_clear(QRMessage *m);
/* Resets the state for the next message on the same connection. */
void qr_message_next(QRMessage *m);
/*
 * Parses up to the end of one message. Returns the number of bytes used; the
 * bytes after them belong to the next message. Sets m->fault on errors.
 */
size_t qr_message_read(QRMessage *m, const char *data, size_t len);
/* For handlers: the message cannot be taken, and nothing more of it is read. */
void qr_message_fail(QRMessage *m, QRMessageFault why);
/* Whether the body, as far as it was read, ends with the connection. */
bool qr_message_ends_with_connection(const QRMessage *m);
/* Called at an orderly end of the connection. Returns false if the message is
   incomplete. */
bool qr_message_end_of_file(QRMessage *m);
/* Whether the connection may carry another message after this one. */
bool qr_message_keeps_open(const QRMessage *m);

#endif
