/* Clock interface.  All code gets the time through it, so that tests and
   benchmarks can use virtual time.  */
#ifndef WY_BASE_CLOCK_H
#define WY_BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

#define WY_MS_PER_S 1000
#define WY_US_PER_MS 1000
#define WY_NS_PER_US 1000
#define WY_NS_PER_MS 1000000
#define WY_NS_PER_S 1000000000

struct wy_clock
{
  void (*monotonic) (const struct wy_clock *clock, struct timespec *out);
  void (*wall) (const struct wy_clock *clock, struct timespec *out);
  /* Monotonic time that includes the time while the machine is suspended.  */
  void (*boottime) (const struct wy_clock *clock, struct timespec *out);
};

/* A clock that only advances by wy_clock_manual_advance.  */
struct wy_clock_manual
{
  struct wy_clock clock; /* must stay first */
  struct timespec mono;
  struct timespec wall;
};

const struct wy_clock *wy_clock_system (void);
void wy_clock_manual_init (struct wy_clock_manual *m, int64_t wall_ms);
void wy_clock_manual_advance (struct wy_clock_manual *m, int64_t ms);
int64_t wy_clock_mono_ms (const struct wy_clock *clock);
int64_t wy_clock_mono_us (const struct wy_clock *clock);
int64_t wy_clock_boot_ms (const struct wy_clock *clock);
int64_t wy_clock_wall_ms (const struct wy_clock *clock);
int64_t wy_timespec_ms (const struct timespec *ts);
struct timespec wy_timespec_from_ms (int64_t ms);

#endif
