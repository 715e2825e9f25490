/*
 * JSON with comments. Tables of fields describe how objects are read into
 * structs; all findings are collected, not only the first.
 */
#include "qr_json.h"

#include <string.h>

#define JSON_DEPTH_MAX 24

/* State of a scan of the text for duplicate keys, which json-c accepts. */
typedef struct KeyScan {
    const char *p, *end;
    unsigned line;
    QRFindings *f;
    GPtrArray *scopes; /* GHashTable of keys per open object, NULL per array */
} KeyScan;

static void key_scan_comment(KeyScan *s)
{
    bool block = s->p + 1 < s->end && s->p[1] == '*';

    s->p += 2;
    while (s->p < s->end) {
        if (*s->p == '\n') {
            s->line++;
            if (!block)
                return;
        }
        if (block && *s->p == '*' && s->p + 1 < s->end && s->p[1] == '/') {
            s->p += 2;
            return;
        }
        s->p++;
    }
}

/* Moves past a string; returns its text, still escaped. */
static char *key_scan_string(KeyScan *s)
{
    char quote = *s->p;
    const char *from = ++s->p;

    while (s->p < s->end && *s->p != quote) {
        if (*s->p == '\\' && s->p + 1 < s->end)
            s->p++;
        if (*s->p == '\n')
            s->line++;
        s->p++;
    }
    if (s->p >= s->end)
        return g_strndup(from, (gsize)(s->end - from));
    return g_strndup(from, (gsize)(s->p++ - from));
}

/* Moves past spaces and comments; returns whether a ':' comes next. */
static bool key_scan_colon_follows(KeyScan *s)
{
    while (s->p < s->end) {
        if (*s->p == '/' && s->p + 1 < s->end &&
            (s->p[1] == '/' || s->p[1] == '*')) {
            key_scan_comment(s);
            continue;
        }
        if (!g_ascii_isspace(*s->p))
            return *s->p == ':';
        if (*s->p == '\n')
            s->line++;
        s->p++;
    }
    return false;
}

/* Moves past a string; reports it if it is a key that its object already has.
 */
static void key_scan_check_key(KeyScan *s)
{
    unsigned line = s->line;
    char *key = key_scan_string(s);
    GHashTable *keys = NULL;
    char location[32];

    if (s->scopes->len > 0)
        keys = s->scopes->pdata[s->scopes->len - 1];
    if (!keys || !key_scan_colon_follows(s)) {
        g_free(key);
        return;
    }
    if (g_hash_table_contains(keys, key)) {
        g_snprintf(location, sizeof(location), "line %u", line);
        qr_findings_add(s->f, location, "key \"%s\" stands twice", key);
    }
    g_hash_table_add(keys, key); /* the table owns 'key' */
}

static void key_scan_free_keys(void *keys)
{
    if (keys)
        g_hash_table_unref(keys);
}

static void json_find_duplicate_keys(const char *text, size_t len,
                                     QRFindings *f)
{
    KeyScan s = {text, text + len, 1, f, NULL};

    s.scopes = g_ptr_array_new_with_free_func(key_scan_free_keys);
    while (s.p < s.end) {
        char c = *s.p;
        char next = s.p + 1 < s.end ? s.p[1] : '\0';

        if (c == '"' || c == '\'') {
            key_scan_check_key(&s);
            continue;
        }
        if (c == '/' && (next == '/' || next == '*')) {
            key_scan_comment(&s);
            continue;
        }
        if (c == '\n')
            s.line++;
        else if (c == '{')
            g_ptr_array_add(
                s.scopes,
                g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL));
        else if (c == '[')
            g_ptr_array_add(s.scopes, NULL);
        else if ((c == '}' || c == ']') && s.scopes->len > 0)
            g_ptr_array_remove_index(s.scopes, s.scopes->len - 1);
        s.p++;
    }
    g_ptr_array_unref(s.scopes);
}

/* Line number, from 1, of the byte at 'at'. */
static unsigned json_line_of(const char *text, size_t at)
{
    unsigned line = 1;

    for (size_t i = 0; i < at; i++)
        line += text[i] == '\n';
    return line;
}

/* Whether only spaces and comments remain after the first value. */
static bool json_only_space_and_comments(const char *p, const char *end)
{
    KeyScan s = {p, end, 0, NULL, NULL};

    while (s.p < s.end) {
        if (*s.p == '/' && s.p + 1 < s.end &&
            (s.p[1] == '/' || s.p[1] == '*')) {
            key_scan_comment(&s);
            continue;
        }
        if (!g_ascii_isspace(*s.p))
            return false;
        s.p++;
    }
    return true;
}

json_object *qr_json_parse(const char *text, size_t len, QRFindings *f)
{
    struct json_tokener *tok = json_tokener_new_ex(JSON_DEPTH_MAX);
    json_object *o = NULL;
    char location[32];
    size_t at;

    if (len == 0 || len > G_MAXINT32 || memchr(text, '\0', len)) {
        qr_findings_add(f, "line 1",
                        "not JSON: empty, too long or with a NUL byte");
        json_tokener_free(tok);
        return NULL;
    }
    o = json_tokener_parse_ex(tok, text, (int)len);
    /* json-c ends a number or literal only at the next byte: pass the NUL */
    if (!o && json_tokener_get_error(tok) == json_tokener_continue)
        o = json_tokener_parse_ex(tok, "", 1);
    at = json_tokener_get_parse_end(tok);
    if (!o) {
        g_snprintf(location, sizeof(location), "line %u",
                   json_line_of(text, MIN(at, len)));
        qr_findings_add(f, location, "%s",
                        json_tokener_error_desc(json_tokener_get_error(tok)));
    } else {
        json_find_duplicate_keys(text, len, f);
        if (at < len && !json_only_space_and_comments(text + at, text + len)) {
            g_snprintf(location, sizeof(location), "line %u",
                       json_line_of(text, at));
            qr_findings_add(f, location, "text after the end of the value");
        }
    }
    json_tokener_free(tok);
    return o;
}

static bool json_string_ok(QRFieldType type, const char *text)
{
    if (type == QR_FIELD_NAME || type == QR_FIELD_NAMES)
        return qr_name_ok(text);
    if (type == QR_FIELD_ADDRESS || type == QR_FIELD_ADDRESSES)
        return qr_address_ok(text);
    return true;
}

static void json_read_string(json_object *v, const char *path, const QRField *d,
                             char **out, QRFindings *f)
{
    const char *what = d->type == QR_FIELD_ADDRESS ? "an ip:port address"
                       : d->type == QR_FIELD_NAME  ? "a name"
                                                   : "a string";

    if (!json_object_is_type(v, json_type_string)) {
        qr_findings_add(f, path, "must be %s", what);
        return;
    }
    if (!json_string_ok(d->type, json_object_get_string(v))) {
        qr_findings_add(f, path, "'%.60s' is not %s", json_object_get_string(v),
                        what);
        return;
    }
    *out = g_strdup(json_object_get_string(v));
}

static void json_read_int(json_object *v, const char *path, const QRField *d,
                          int64_t *out, QRFindings *f)
{
    int64_t n = json_object_get_int64(v);

    if (!json_object_is_type(v, json_type_int))
        qr_findings_add(f, path, "must be a whole number");
    else if (n < d->min || n > d->max)
        qr_findings_add(f, path,
                        "%" G_GINT64_FORMAT " is not within %" G_GINT64_FORMAT
                        "..%" G_GINT64_FORMAT,
                        n, d->min, d->max);
    else
        *out = n;
}

static void json_read_number(json_object *v, const char *path, const QRField *d,
                             double *out, QRFindings *f)
{
    double n = json_object_get_double(v);

    if (!json_object_is_type(v, json_type_int) &&
        !json_object_is_type(v, json_type_double))
        qr_findings_add(f, path, "must be a number");
    else if (!(n >= (double)d->min && n <= (double)d->max))
        qr_findings_add(
            f, path, "%g is not within %" G_GINT64_FORMAT "..%" G_GINT64_FORMAT,
            n, d->min, d->max);
    else
        *out = n;
}

/* Cuts off the fraction: rounding up would allow more than the limit set. */
static void json_read_limit(json_object *v, const char *path, const QRField *d,
                            int64_t *out, QRFindings *f)
{
    double n = (double)*out;

    json_read_number(v, path, d, &n, f);
    *out = (int64_t)n;
}

static void json_read_strings(json_object *v, const char *path,
                              const QRField *d, GPtrArray *out, QRFindings *f)
{
    size_t n;

    if (!json_object_is_type(v, json_type_array)) {
        qr_findings_add(f, path, "must be a list");
        return;
    }
    n = json_object_array_length(v);
    for (size_t i = 0; i < n; i++) {
        json_object *e = json_object_array_get_idx(v, i);
        const char *s = json_object_get_string(e);
        g_autofree char *element_path = g_strdup_printf("%s[%zu]", path, i);

        if (!json_object_is_type(e, json_type_string) ||
            !json_string_ok(d->type, s))
            qr_findings_add(
                f, element_path, "'%.60s' is not %s", s ? s : "null",
                d->type == QR_FIELD_NAMES ? "a name" : "an ip:port address");
        else
            g_ptr_array_add(out, g_strdup(s));
    }
}

static void json_read_field(json_object *v, const char *path, const QRField *d,
                            void *member, QRFindings *f)
{
    switch (d->type) {
    case QR_FIELD_NAME:
    case QR_FIELD_TEXT:
    case QR_FIELD_ADDRESS:
        json_read_string(v, path, d, member, f);
        break;
    case QR_FIELD_INT:
        json_read_int(v, path, d, member, f);
        break;
    case QR_FIELD_LIMIT:
        json_read_limit(v, path, d, member, f);
        break;
    case QR_FIELD_NUMBER:
        json_read_number(v, path, d, member, f);
        break;
    case QR_FIELD_BOOL:
        if (json_object_is_type(v, json_type_boolean))
            *(bool *)member = json_object_get_boolean(v);
        else
            qr_findings_add(f, path, "must be true or false");
        break;
    case QR_FIELD_NAMES:
    case QR_FIELD_ADDRESSES:
        json_read_strings(v, path, d, *(GPtrArray **)member, f);
        break;
    case QR_FIELD_VALUE:
        *(json_object **)member = v;
        break;
    }
}

static const QRField *json_find_field(const QRField *fields, const char *name)
{
    for (; fields->name; fields++) {
        if (strcmp(fields->name, name) == 0)
            return fields;
    }
    return NULL;
}

static void json_set_defaults(const QRField *fields, void *out)
{
    for (; fields->name; fields++) {
        void *member = (char *)out + fields->offset;

        if (fields->type == QR_FIELD_INT || fields->type == QR_FIELD_LIMIT)
            *(int64_t *)member = fields->fallback;
        else if (fields->type == QR_FIELD_NUMBER)
            *(double *)member = (double)fields->fallback;
        else if (fields->type == QR_FIELD_BOOL)
            *(bool *)member = fields->fallback != 0;
        else if (fields->type == QR_FIELD_NAMES ||
                 fields->type == QR_FIELD_ADDRESSES)
            *(GPtrArray **)member = g_ptr_array_new_with_free_func(g_free);
        else
            *(void **)member = NULL;
    }
}

int qr_json_read(json_object *o, const char *path, const QRField *fields,
                 void *out, QRFindings *f)
{
    unsigned before = qr_findings_count(f);

    json_set_defaults(fields, out);
    if (!json_object_is_type(o, json_type_object)) {
        qr_findings_add(f, *path ? path : "top", "must be an object");
        return -1;
    }
    json_object_object_foreach(o, key, value)
    {
        g_autofree char *member_path =
            *path ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);
        const QRField *d = json_find_field(fields, key);

        if (!d)
            qr_findings_add(f, member_path, "unknown key");
        else
            json_read_field(value, member_path, d, (char *)out + d->offset, f);
    }
    for (const QRField *d = fields; d->name; d++) {
        g_autofree char *member_path =
            *path ? g_strdup_printf("%s.%s", path, d->name) : g_strdup(d->name);

        if (d->required && !json_object_object_get_ex(o, d->name, NULL))
            qr_findings_add(f, member_path, "is required");
    }
    return qr_findings_count(f) > before ? -1 : 0;
}

void qr_json_release(const QRField *fields, void *out)
{
    for (; fields->name; fields++) {
        void *member = (char *)out + fields->offset;

        switch (fields->type) {
        case QR_FIELD_NAME:
        case QR_FIELD_TEXT:
        case QR_FIELD_ADDRESS:
            g_clear_pointer((char **)member, g_free);
            break;
        case QR_FIELD_NAMES:
        case QR_FIELD_ADDRESSES:
            g_clear_pointer((GPtrArray **)member, g_ptr_array_unref);
            break;
        default:
            break;
        }
    }
}

void qr_json_str(json_object *o, const char *key, const char *value)
{
    json_object_object_add(o, key, json_object_new_string(value ? value : ""));
}

void qr_json_int(json_object *o, const char *key, int64_t value)
{
    json_object_object_add(o, key, json_object_new_int64(value));
}

void qr_json_bool(json_object *o, const char *key, bool value)
{
    json_object_object_add(o, key, json_object_new_boolean(value));
}

void qr_json_add(json_object *o, const char *key, json_object *value)
{
    json_object_object_add(o, key, value);
}

json_object *qr_json_names(const GPtrArray *names)
{
    json_object *a = json_object_new_array();

    for (unsigned i = 0; i < names->len; i++)
        json_object_array_add(a, json_object_new_string(names->pdata[i]));
    return a;
}

char *qr_json_text(json_object *o)
{
    int flags = JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE;

    return g_strdup(json_object_to_json_string_ext(o, flags));
}

const char *qr_json_get_str(json_object *o, const char *key)
{
    json_object *v;

    if (!json_object_object_get_ex(o, key, &v) ||
        !json_object_is_type(v, json_type_string))
        return "";
    return json_object_get_string(v);
}

int64_t qr_json_get_int(json_object *o, const char *key)
{
    json_object *v;

    if (!json_object_object_get_ex(o, key, &v))
        return 0;
    return json_object_get_int64(v);
}
