/* Who may act on the platform: one instance at a time holds a lease in the
   store's rows, with a generation that rises whenever the holder changes.  */
#ifndef WY_DUTIES_HOLDER_H
#define WY_DUTIES_HOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "rows/rows.h"

struct wy_duty_holder;

struct wy_duty_holder_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_rows *rows;
  const char *subject; /* names the lease */
  const char *holder;  /* this start of the instance */
  uint64_t seed;
  uint32_t ttl_ms;
  bool (*may_hold) (void *ctx); /* whether this instance is a candidate */
  void (*on_acquired) (void *ctx);
  void (*on_lost) (void *ctx);
  void *ctx;
};

/* The lease as this instance last saw it.  */
struct wy_duty_holder_view
{
  const char *holder; /* "": not known */
  int64_t generation;
  bool held_here;
};

struct wy_duty_holder *
wy_duty_holder_new (const struct wy_duty_holder_options *o);
void wy_duty_holder_free (struct wy_duty_holder *h);
bool wy_duty_holder_holds (const struct wy_duty_holder *h);
int64_t wy_duty_holder_left_ms (const struct wy_duty_holder *h);
int64_t wy_duty_holder_held_ms (const struct wy_duty_holder *h);
int64_t wy_duty_holder_generation (const struct wy_duty_holder *h);
void wy_duty_holder_give_up (struct wy_duty_holder *h, uint32_t pause_ms,
                             const char *reason);
void wy_duty_holder_view (const struct wy_duty_holder *h,
                          struct wy_duty_holder_view *out);

#endif
