/*
 * JSON with comments. Tables of fields describe how objects are read into
 * structs; all findings are collected, not only the first.
 */
#ifndef QR_JSON_H
#define QR_JSON_H

#include "qr_base.h"

#include <json-c/json.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_object, json_object_put)

typedef enum QRFieldType {
    QR_FIELD_NAME,      /* char *: accepted by qr_name_ok() */
    QR_FIELD_TEXT,      /* char *: any string */
    QR_FIELD_ADDRESS,   /* char *: ip:port */
    QR_FIELD_INT,       /* int64_t within min..max */
    QR_FIELD_LIMIT,     /* int64_t within min..max; fractions are cut off */
    QR_FIELD_NUMBER,    /* double within min..max */
    QR_FIELD_BOOL,      /* bool */
    QR_FIELD_NAMES,     /* GPtrArray of char *, each a name */
    QR_FIELD_ADDRESSES, /* GPtrArray of char *, each ip:port */
    QR_FIELD_VALUE,     /* json_object *, borrowed from the parent */
} QRFieldType;

typedef struct QRField {
    const char *name;
    QRFieldType type;
    size_t offset; /* of the member in the struct that is filled */
    bool required;
    int64_t min, max, fallback; /* of numbers; BOOL has a fallback too */
} QRField;

/*
 * Parses the whole of 'text'. Syntax errors, trailing text and duplicate keys
 * become findings. Returns NULL if there is a syntax error; otherwise the
 * caller releases the value, even with findings.
 */
json_object *qr_json_parse(const char *text, size_t len, QRFindings *f);

/*
 * Reads 'o' into 'out' as 'fields' describes (ended by a NULL name). Unknown
 * keys and absent required ones are findings; other absent ones get the
 * fallback, an empty array or NULL. 'path' opens the location of each finding
 * and may be "". Returns -1 if any finding was added. 'out' owns its strings
 * and arrays.
 */
int qr_json_read(json_object *o, const char *path, const QRField *fields,
                 void *out, QRFindings *f);
/* Frees what qr_json_read() stored. */
void qr_json_release(const QRField *fields, void *out);

/* Each sets member 'key' of 'o'. A NULL string is stored as "". */
void qr_json_str(json_object *o, const char *key, const char *value);
void qr_json_int(json_object *o, const char *key, int64_t value);
void qr_json_bool(json_object *o, const char *key, bool value);
/* 'o' takes ownership of 'value'. */
void qr_json_add(json_object *o, const char *key, json_object *value);
/* A new array of strings. */
json_object *qr_json_names(const GPtrArray *names);
/* Serializes 'o' on one line. The caller frees the text. */
char *qr_json_text(json_object *o);
/* String of member 'key', borrowed; "" if absent or of another type. */
const char *qr_json_get_str(json_object *o, const char *key);
/* Member 'key' as an integer, converted by json-c from other types; 0 if
   absent. */
int64_t qr_json_get_int(json_object *o, const char *key);

#endif
