/* Preloaded (LD_PRELOAD) into a process under test to emulate a suspended machine, whose monotonic
 * clock does not advance. The file named by SHUNTRUN_TEST_HELD_CLOCK holds the nanoseconds by which
 * the monotonic clock lags, a uint64_t in host byte order. */
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS 1000000000ULL

static const volatile uint64_t *lag_ns;

__attribute__((constructor)) static void map_lag_file(void)
{
    const char *path = getenv("SHUNTRUN_TEST_HELD_CLOCK");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *page = mmap(NULL, sizeof *lag_ns, PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (page != MAP_FAILED)
        lag_ns = page;
}

static int is_monotonic(clockid_t clock)
{
    return clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE ||
           clock == CLOCK_MONOTONIC_RAW;
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    if (result || !lag_ns || !is_monotonic(clock))
        return result;
    uint64_t now = (uint64_t)time->tv_sec * NANOSECONDS + (uint64_t)time->tv_nsec - *lag_ns;
    time->tv_sec = (time_t)(now / NANOSECONDS);
    time->tv_nsec = (long)(now % NANOSECONDS);
    return 0;
}
