/*
 * The time by which ages, leases, bounds and deadlines are judged.
 */
#include "qr_clock.h"

#include <glib.h>
#include <stdbool.h>
#include <time.h>

/* Two clocks are read one after the other: a difference that grew by less is
   none; nor is one that was read while this process was held up for longer. */
#define NOISE_MS 5
#define READINGS 4

static uint64_t read_ms(clockid_t clock)
{
    struct timespec ts;

    clock_gettime(clock, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* The boot-time clock counts suspensions, the steady one does not. */
static uint64_t kernel_suspended_ms(void)
{
    uint64_t least = UINT64_MAX;

    for (unsigned i = 0; i < READINGS; i++) {
        uint64_t before = read_ms(CLOCK_MONOTONIC);
        uint64_t boot = read_ms(CLOCK_BOOTTIME);
        uint64_t after = read_ms(CLOCK_MONOTONIC);

        least = MIN(least, boot - MIN(before, boot));
        if (after < before + NOISE_MS)
            break;
    }
    return least;
}

static uint64_t (*source)(void) = kernel_suspended_ms;

void qr_clock_set_source(uint64_t (*suspended_ms)(void))
{
    source = suspended_ms ? suspended_ms : kernel_suspended_ms;
}

uint64_t qr_clock_ms(const uv_loop_t *loop)
{
    static uint64_t looked_at, suspended;
    static bool known;
    uint64_t now = uv_now(loop), told;

    /* once for each millisecond of the loop: two readings of clocks */
    if (!known || now != looked_at) {
        looked_at = now;
        told = source();
        if (!known || told > suspended + NOISE_MS)
            suspended = told;
        known = true;
    }
    return now + suspended;
}
