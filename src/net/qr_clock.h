/*
 * The time by which ages, leases, bounds and deadlines are judged: that of the
 * loop, and the time for which the host was suspended besides. The steady clock
 * of the loop does not count that: a host that was asleep for 5 s would believe
 * all it heard before to be fresh.
 */
#ifndef QR_CLOCK_H
#define QR_CLOCK_H

#include <stdint.h>

#include <uv.h>

/* Milliseconds, never less than before; the same throughout one round of the
   loop, unless the host was suspended. */
uint64_t qr_clock_ms(const uv_loop_t *loop);
/* For tests: what tells the milliseconds for which the host was suspended since
   it started; NULL: the kernel. */
void qr_clock_set_source(uint64_t (*suspended_ms)(void));

#endif
