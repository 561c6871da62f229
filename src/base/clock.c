/* System clock, manual clock and time conversions.  */
#include "base/clock.h"

static void
system_monotonic (const struct wy_clock *clock, struct timespec *out)
{
  (void)clock;
  clock_gettime (CLOCK_MONOTONIC, out);
}

static void
system_wall (const struct wy_clock *clock, struct timespec *out)
{
  (void)clock;
  clock_gettime (CLOCK_REALTIME, out);
}

static void
system_boottime (const struct wy_clock *clock, struct timespec *out)
{
  (void)clock;
  clock_gettime (CLOCK_BOOTTIME, out);
}

/* The clock of the operating system.  */
const struct wy_clock *
wy_clock_system (void)
{
  static const struct wy_clock clock
      = { system_monotonic, system_wall, system_boottime };
  return &clock;
}

static void
manual_monotonic (const struct wy_clock *clock, struct timespec *out)
{
  *out = ((const struct wy_clock_manual *)clock)->mono;
}

static void
manual_wall (const struct wy_clock *clock, struct timespec *out)
{
  *out = ((const struct wy_clock_manual *)clock)->wall;
}

/* Initialize M with monotonic time 0 and wall-clock time WALL_MS since the
   epoch.  */
void
wy_clock_manual_init (struct wy_clock_manual *m, int64_t wall_ms)
{
  m->clock.monotonic = manual_monotonic;
  m->clock.wall = manual_wall;
  m->clock.boottime = manual_monotonic;
  m->mono = wy_timespec_from_ms (0);
  m->wall = wy_timespec_from_ms (wall_ms);
}

/* Advance both times of M by MS milliseconds.  */
void
wy_clock_manual_advance (struct wy_clock_manual *m, int64_t ms)
{
  m->mono = wy_timespec_from_ms (wy_timespec_ms (&m->mono) + ms);
  m->wall = wy_timespec_from_ms (wy_timespec_ms (&m->wall) + ms);
}

/* Monotonic time in milliseconds, from an arbitrary start.  */
int64_t
wy_clock_mono_ms (const struct wy_clock *clock)
{
  struct timespec ts;

  clock->monotonic (clock, &ts);
  return wy_timespec_ms (&ts);
}

/* Monotonic time in microseconds, from an arbitrary start.  */
int64_t
wy_clock_mono_us (const struct wy_clock *clock)
{
  struct timespec ts;

  clock->monotonic (clock, &ts);
  return (int64_t)ts.tv_sec * WY_MS_PER_S * WY_US_PER_MS
         + ts.tv_nsec / WY_NS_PER_US;
}

/* Time in milliseconds from an arbitrary start, including the time while the
   machine was suspended.  */
int64_t
wy_clock_boot_ms (const struct wy_clock *clock)
{
  struct timespec ts;

  clock->boottime (clock, &ts);
  return wy_timespec_ms (&ts);
}

/* Wall-clock time in milliseconds since the epoch.  */
int64_t
wy_clock_wall_ms (const struct wy_clock *clock)
{
  struct timespec ts;

  clock->wall (clock, &ts);
  return wy_timespec_ms (&ts);
}

/* TS in milliseconds, rounded down.  */
int64_t
wy_timespec_ms (const struct timespec *ts)
{
  return (int64_t)ts->tv_sec * WY_MS_PER_S + ts->tv_nsec / WY_NS_PER_MS;
}

struct timespec
wy_timespec_from_ms (int64_t ms)
{
  struct timespec ts;

  ts.tv_sec = ms / WY_MS_PER_S;
  ts.tv_nsec = (ms % WY_MS_PER_S) * WY_NS_PER_MS;
  return ts;
}
