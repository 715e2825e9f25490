/*
 * Clock for ages, leases, bounds and deadlines: the time of the loop plus the
 * time for which the host was suspended. The monotonic clock of the loop does
 * not count suspension, so after 5 s of suspension a process would take data
 * received before that for fresh.
 */
#ifndef QR_CLOCK_H
#define QR_CLOCK_H

#include <stdint.h>

#include <uv.h>

/* Milliseconds, never decreasing; constant during one iteration of the loop
   unless the host was suspended. */
uint64_t qr_clock_ms(const uv_loop_t *loop);
/* For tests: replaces the function that returns the milliseconds for which the
   host was suspended since boot. NULL restores the kernel's clocks. */
void qr_clock_set_source(uint64_t (*suspended_ms)(void));

#endif
