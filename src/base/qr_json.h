/*
 * JSON with comments, read by tables of fields; every finding is collected.
 */
#ifndef QR_JSON_H
#define QR_JSON_H

#include "qr_base.h"

#include <json-c/json.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_object, json_object_put)

typedef enum QRFieldType {
    QR_FIELD_NAME,      /* char *: a name of qr_name_ok() */
    QR_FIELD_TEXT,      /* char *: any text */
    QR_FIELD_ADDRESS,   /* char *: ip:port */
    QR_FIELD_INT,       /* int64_t within min..max */
    QR_FIELD_LIMIT,     /* int64_t within min..max; a fraction is cut off */
    QR_FIELD_NUMBER,    /* double within min..max, fractions too */
    QR_FIELD_BOOL,      /* bool */
    QR_FIELD_NAMES,     /* GPtrArray of char *, each a name */
    QR_FIELD_ADDRESSES, /* GPtrArray of char *, each ip:port */
    QR_FIELD_VALUE,     /* json_object *, borrowed from the parent */
} QRFieldType;

typedef struct QRField {
    const char *name;
    QRFieldType type;
    size_t offset; /* of the member in the struct read into */
    bool required;
    int64_t min, max, fallback; /* of numbers; fallback of BOOL too */
} QRField;

/*
 * Parses the whole of 'text'. Syntax errors, trailing text and keys that
 * stand twice become findings. Returns NULL if there is a syntax error.
 */
json_object *qr_json_parse(const char *text, size_t len, QRFindings *f);

/*
 * Reads 'o' into 'out' by 'fields' (ended by a NULL name). 'place' stands
 * before each finding. Returns -1 if it added any finding.
 * Strings and arrays in 'out' are owned by 'out'.
 */
int qr_json_read(json_object *o, const char *place, const QRField *fields,
                 void *out, QRFindings *f);
/* Frees what qr_json_read() stored. */
void qr_json_release(const QRField *fields, void *out);

/* Short ways to build objects. */
void qr_json_str(json_object *o, const char *key, const char *value);
void qr_json_int(json_object *o, const char *key, int64_t value);
void qr_json_bool(json_object *o, const char *key, bool value);
/* 'value' is taken over. */
void qr_json_add(json_object *o, const char *key, json_object *value);
json_object *qr_json_names(const GPtrArray *names);
/* The text of 'o' on one line; the caller frees it. */
char *qr_json_text(json_object *o);
/* Text of member 'key', or "" if absent or no string. Borrowed. */
const char *qr_json_get_str(json_object *o, const char *key);
int64_t qr_json_get_int(json_object *o, const char *key);

#endif
