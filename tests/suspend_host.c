/*
 * Test library for LD_PRELOAD that simulates a suspended host. CLOCK_BOOTTIME
 * is advanced by the number of milliseconds in the file that the environment
 * variable QUAYRING_TEST_SUSPENDED names.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

static long suspended_ms(void)
{
    const char *path = getenv("QUAYRING_TEST_SUSPENDED");
    char text[32] = "";
    int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;

    if (fd < 0)
        return 0;
    if (read(fd, text, sizeof(text) - 1) < 0)
        text[0] = '\0';
    close(fd);
    return atol(text);
}

int clock_gettime(clockid_t clock, struct timespec *ts)
{
    static int (*real)(clockid_t, struct timespec *);
    int rc;

    if (!real)
        *(void **)&real = dlsym(RTLD_NEXT, "clock_gettime");
    rc = real(clock, ts);
    if (rc == 0 && clock == CLOCK_BOOTTIME) {
        long ms = suspended_ms();

        ts->tv_sec += ms / 1000;
        ts->tv_nsec += ms % 1000 * 1000000;
        if (ts->tv_nsec >= 1000000000) {
            ts->tv_sec++;
            ts->tv_nsec -= 1000000000;
        }
    }
    return rc;
}
