/*
 * The verbs of the command line.
 */
#ifndef QR_CMD_H
#define QR_CMD_H

/* Exit statuses, beside EXIT_SUCCESS and EXIT_FAILURE. */
#define QR_EXIT_FINDINGS 2 /* the input has findings */
#define QR_EXIT_REFUSED 3  /* the change lost, or cannot be done */
#define QR_EXIT_UNKNOWN 4  /* not known whether it was done: ask again */

/* DEF(verb, arguments, what it does). */
#define QR_VERB_LIST                                                           \
    DEF(entry, "-c FILE", "answer callers and route their calls")              \
    DEF(agent, "-c FILE", "serve one backend server host")                     \
    DEF(gateway, "-c FILE", "relay calls straight to engines")                 \
    DEF(sidecar, "-c FILE", "bring weights to the engine on this machine")     \
    DEF(check, "FILE...", "check settings and print every finding")            \
    DEF(explain, "ID [FILE...]", "gather what logs say of one call")           \
    DEF(plan, "-e ADDRESS [-o PLAN] DECLARATION",                              \
        "show what a declaration would change")                                \
    DEF(confirm, "-e ADDRESS PLAN", "take a plan into force")                  \
    DEF(intents, "-e ADDRESS", "print the intents in force")                   \
    DEF(status, "-e ADDRESS [--json]", "show how far rollouts are")            \
    DEF(held, "-e ADDRESS... [--json]", "list requests that are held back")    \
    DEF(burn, "-e ADDRESS... [--json]", "report on service-level burn")

#define DEF(verb, args, what) int qr_cmd_##verb(int argc, char **argv);
QR_VERB_LIST
#undef DEF

#endif
