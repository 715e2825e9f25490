/*
 * Clock for ages, leases, bounds and deadlines.
 */
#include "qr_clock.h"

#include <glib.h>
#include <stdbool.h>
#include <time.h>

/* The two clocks are read one after the other. A difference that grew by up to
   this much is ignored, and a reading that took this long is repeated. */
#define READ_NOISE_MS 5
#define READ_ATTEMPTS 4

static uint64_t read_ms(clockid_t clock)
{
    struct timespec ts;

    clock_gettime(clock, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* CLOCK_BOOTTIME counts suspensions, CLOCK_MONOTONIC does not. */
static uint64_t kernel_suspended_ms(void)
{
    uint64_t least = UINT64_MAX;

    for (unsigned i = 0; i < READ_ATTEMPTS; i++) {
        uint64_t before = read_ms(CLOCK_MONOTONIC);
        uint64_t boot = read_ms(CLOCK_BOOTTIME);
        uint64_t after = read_ms(CLOCK_MONOTONIC);

        least = MIN(least, boot - MIN(before, boot));
        if (after < before + READ_NOISE_MS)
            break;
    }
    return least;
}

static uint64_t (*suspended_source)(void) = kernel_suspended_ms;

void qr_clock_set_source(uint64_t (*suspended_ms)(void))
{
    suspended_source = suspended_ms ? suspended_ms : kernel_suspended_ms;
}

uint64_t qr_clock_ms(const uv_loop_t *loop)
{
    static uint64_t last_now_ms, suspended;
    static bool known;
    uint64_t now = uv_now(loop), reported;

    /* reads the clocks only when the loop's millisecond changes */
    if (!known || now != last_now_ms) {
        last_now_ms = now;
        reported = suspended_source();
        if (!known || reported > suspended + READ_NOISE_MS)
            suspended = reported;
        known = true;
    }
    return now + suspended;
}
