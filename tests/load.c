/*
 * Runs the load simulation from the command line. Prints one line of CSV for
 * each offered load, given as a multiple of the capacity of the engines.
 *
 *     load WAY GATEWAYS [SLOTS [SEED]]     WAY: told, reserved
 */
#include "load_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const double offered[] = {0.5, 0.7, 0.9, 1, 1.2, 1.35, 1.5, 2, 3};

static void print_row(const LoadSetup *s, double load, const LoadOutcome *o)
{
    double n = MAX(o->callers, 1u);

    printf("%s,%u,%u,%.2f,%.0f,%.3f,%.3f,%.3f,%.4f,%.3f,%.3f,%.1f\n",
           s->mode == LOAD_BROADCAST ? "told" : "reserved", s->gateways,
           s->slots, load, s->calls_per_s, o->in_objective / n, o->late / n,
           o->refused / n, (double)o->sent_to_full / MAX(o->sent, 1u),
           o->slots_used, (double)o->largest_served / MAX(o->largest, 1u),
           (double)o->asked / n);
}

int main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: load WAY GATEWAYS [SLOTS [SEED]]\n");
        return EXIT_FAILURE;
    }
    printf("way,gateways,slots,offered,calls_per_s,in_aim,late,refused,"
           "overfull,taken,largest_served,asked_a_call\n");
    for (unsigned i = 0; i < G_N_ELEMENTS(offered); i++) {
        LoadSetup s = load_setup(strcmp(argv[1], "told") == 0 ? LOAD_BROADCAST
                                                              : LOAD_RESERVED);
        LoadOutcome o;

        s.gateways = (unsigned)atoi(argv[2]);
        if (argc > 3)
            s.slots = (unsigned)atoi(argv[3]);
        if (argc > 4)
            s.seed = (uint64_t)atoi(argv[4]);
        s.calls_per_s = load_capacity(&s) * offered[i];
        o = load_run(&s);
        print_row(&s, offered[i], &o);
    }
    return EXIT_SUCCESS;
}
