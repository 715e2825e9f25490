/*
 * quayring: one binary, by verbs.
 */
#include "qr_cmd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct {
    const char *verb, *args, *what;
    int (*run)(int argc, char **argv);
} verbs[] = {
#define DEF(verb, args, what) {#verb, args, what, qr_cmd_##verb},
    QR_VERB_LIST
#undef DEF
};

#define VERBS (sizeof(verbs) / sizeof(*verbs))

static void print_usage(FILE *to)
{
    fprintf(to, "Usage: quayring VERB ...\n\n");
    for (size_t i = 0; i < VERBS; i++)
        fprintf(to, "  %-8s %-34s %s\n", verbs[i].verb, verbs[i].args,
                verbs[i].what);
    fprintf(to, "\n'quayring VERB --help' says more. "
                "'quayring --version' prints the version.\n");
}

int main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "--version") == 0) {
        printf("quayring %s\n", QR_VERSION);
        return EXIT_SUCCESS;
    }
    if (argc > 1 && strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return EXIT_SUCCESS;
    }
    for (size_t i = 0; argc > 1 && i < VERBS; i++) {
        if (strcmp(argv[1], verbs[i].verb) == 0)
            return verbs[i].run(argc - 1, argv + 1);
    }
    print_usage(stderr);
    return EXIT_FAILURE;
}
