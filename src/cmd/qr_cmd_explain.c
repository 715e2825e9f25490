/*
 * The verb 'explain': from a call's id to what became of it, and why.
 */
#include "qr_cmd.h"

#include <argp.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct ExplainArgs {
    const char *id;
    GPtrArray *files; /* none: standard input */
} ExplainArgs;

static error_t explain_option(int key, char *arg, struct argp_state *state)
{
    ExplainArgs *a = state->input;

    if (key == ARGP_KEY_ARG && !a->id)
        a->id = arg;
    else if (key == ARGP_KEY_ARG)
        g_ptr_array_add(a->files, arg);
    else if (key == ARGP_KEY_END && !a->id)
        argp_error(state, "the id of a call is needed");
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

static const struct argp explain_argp = {
    NULL,
    explain_option,
    "ID [FILE...]",
    "Gathers the log lines of one call over all processes, in the order of "
    "time, and says what became of it. Without files it reads standard input.",
    NULL,
    NULL,
    NULL};

/* DEF(outcome in a log line, what it means to the caller) */
#define OUTCOME_LIST                                                           \
    DEF("as unread answers exceed their memory",                               \
        "The caller read its answer too slowly; memory for it ran out.")       \
    DEF("call: answered", "The caller got an engine's whole answer.")          \
    DEF("why=cannot end in time",                                              \
        "The call was not run: its answer would not have been complete "       \
        "before its deadline.")                                                \
    DEF("call: refused", "The call was not run; the caller was told so.")      \
    DEF("call: failed", "The call may have run; no whole answer came.")        \
    DEF("call: cut", "The answer had begun and was broken off.")               \
    DEF("call: gone", "The caller left before its answer was whole.")          \
    DEF("call: again", "The call was sent to another engine.")                 \
    DEF("call: slow stream moves",                                             \
        "The stream was too slow to end in time, and is resumed elsewhere.")   \
    DEF("call: slow stream stays",                                             \
        "The stream is too slow to end in time, and could not be moved.")      \
    DEF("call: back", "An engine that had paused goes on with the call.")      \
    DEF("call: rest waits", "The rest of a stream waited for an engine.")

static const char *outcome_of(const char *line)
{
#define DEF(text, meaning)                                                     \
    if (strstr(line, text))                                                    \
        return meaning;
    OUTCOME_LIST
#undef DEF
    return NULL;
}

/* DEF(word in the last line of a refused call, what the caller was told) */
#define TURN_LIST                                                              \
    DEF("turn=free", "It was told to return when a slot should be free.")      \
    DEF("turn=full", "No capacity was expected within the time it could use.") \
    DEF("turn=ready", "It was told to return when an engine should be ready.") \
    DEF("turn=none", "It got no turn; the reason is in the last line.")

static const char *turn_of(const char *line)
{
#define DEF(text, meaning)                                                     \
    if (strstr(line, text))                                                    \
        return meaning;
    TURN_LIST
#undef DEF
    return NULL;
}

/* Whether 'line' names the call: "id=ID" followed by a blank or the end. */
static bool names_call(const char *line, const char *id)
{
    size_t len = strlen(id);

    for (const char *p = line; (p = strstr(p, " id=")); p += 4) {
        char next = p[4 + len];

        if (strncmp(p + 4, id, len) == 0 &&
            (next == ' ' || next == '\n' || next == '\0'))
            return true;
    }
    return false;
}

/* The value of 'key' in a line of "key=value", 0 if it is missing. */
static double value_of(const char *line, const char *key)
{
    g_autofree char *text = g_strdup_printf(" %s=", key);
    const char *at = strstr(line, text);

    return at ? g_ascii_strtod(at + strlen(text), NULL) : 0;
}

/* Says how large a call was, and what kept it from getting a slot. */
static void print_size(const char *line)
{
    static const struct {
        const char *key, *meaning;
    } causes[] = {
        {"denied_open", "no slot was free"},
        {"denied_unread", "too many prompt tokens were unread"},
        {"denied_yields", "the slot was left to other calls"},
    };
    double most = value_of(line, "answer_most");

    if (value_of(line, "prompt") <= 0)
        return;
    printf("Its size: %.0f tokens to read", value_of(line, "prompt"));
    if (most > 0)
        printf(", at most %.0f to write", most);
    printf(", %.0f expected.\n", value_of(line, "tokens"));
    for (unsigned i = 0; i < G_N_ELEMENTS(causes); i++) {
        if (value_of(line, causes[i].key) > 0)
            printf("Slots denied as %s: %.0f.\n", causes[i].meaning,
                   value_of(line, causes[i].key));
    }
}

/* Says why a refused call did not wait for a slot. */
static void print_verdict(const char *line)
{
    static const struct {
        const char *verdict, *meaning;
    } rows[] = {
        {"verdict=too_late ",
         "It could not begin early enough to end in its caller's time."},
        {"verdict=queue_full ",
         "More calls waited before it than arrive together by chance."},
        {"verdict=displaced ",
         "It left a full queue for a team with fewer calls."},
        {"verdict=no_engine ", "No engine was expected to serve it."},
    };

    for (unsigned i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (strstr(line, rows[i].verdict))
            puts(rows[i].meaning);
    }
}

static void gather(FILE *from, const char *id, GPtrArray *lines)
{
    char *line = NULL;
    size_t size = 0;

    while (getline(&line, &size, from) > 0) {
        if (names_call(line, id))
            g_ptr_array_add(lines, g_strchomp(g_strdup(line)));
    }
    free(line);
}

/* Where the time stands in a line: other programs may put words before it. */
static const char *time_of(const char *line)
{
    const char *t = strchr(line, 'T');

    while (t && (t - line < 10 || !g_ascii_isdigit(t[1])))
        t = strchr(t + 1, 'T');
    return t ? t - 10 : line;
}

static int by_time(const void *a, const void *b)
{
    return strcmp(time_of(*(const char *const *)a),
                  time_of(*(const char *const *)b));
}

static int gather_files(const ExplainArgs *a, GPtrArray *lines)
{
    for (unsigned i = 0; i < a->files->len; i++) {
        FILE *f = fopen(a->files->pdata[i], "r");

        if (!f) {
            perror(a->files->pdata[i]);
            return -1;
        }
        gather(f, a->id, lines);
        fclose(f);
    }
    if (a->files->len == 0)
        gather(stdin, a->id, lines);
    return 0;
}

int qr_cmd_explain(int argc, char **argv)
{
    g_autoptr(GPtrArray) files = g_ptr_array_new();
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    ExplainArgs a = {NULL, files};
    const char *meaning = NULL, *turn = NULL, *last = NULL;

    argp_parse(&explain_argp, argc, argv, 0, NULL, &a);
    if (gather_files(&a, lines) != 0)
        return EXIT_FAILURE;
    g_ptr_array_sort(lines, by_time);
    for (unsigned i = 0; i < lines->len; i++) {
        puts(lines->pdata[i]);
        if (!outcome_of(lines->pdata[i]))
            continue;
        meaning = outcome_of(lines->pdata[i]);
        turn = turn_of(lines->pdata[i]);
        last = lines->pdata[i];
    }
    if (!meaning) {
        printf("No line names the call %s.\n", a.id);
        return QR_EXIT_UNKNOWN;
    }
    puts(meaning);
    print_size(last);
    print_verdict(last);
    if (turn)
        puts(turn);
    return EXIT_SUCCESS;
}
