/* The capacity of a service, and whether a caller's request can still be
   served in its time, from the service times and loads that this entry has
   observed.  */
#include "gate/servable.h"

#include <string.h>

enum
{
  /* A queue that was reported longer ago may be gone.  */
  LOAD_VALID_MS = 300,
  /* The same for the pace of a replica.  */
  PACE_VALID_MS = 4000
};

struct capacity
{
  const char *service;
  int64_t now_ms;
  double hz;
};

static bool
is_ready (const struct wy_target *t, const char *service)
{
  return t->listed && !t->info.draining && !strcmp (t->info.service, service);
}

static void
add_capacity (void *ctx, const struct wy_target *t)
{
  const struct wy_work_pace *pace = &t->pace[WY_WORK_REQUEST];
  struct capacity *c = ctx;

  if (is_ready (t, c->service) && !t->failures && pace->ms > 0
      && c->now_ms - pace->seen_ms <= PACE_VALID_MS)
    c->hz += t->info.slots * (double)WY_MS_PER_S / pace->ms;
}

/* This entry's share of the requests per second that the replicas of SERVICE
   can serve; only those count whose pace is known and that don't fail.  0: not
   known.  */
double
wy_gate_capacity_hz (const struct wy_gate_env *env, const char *service)
{
  struct capacity c = { service, wy_clock_mono_ms (env->clock), 0 };

  wy_targets_each (env->targets, add_capacity, &c);
  return c.hz / env->entries;
}

/* The shortest queue of the replicas of a service.  */
struct shortest_queue
{
  const char *service;
  int64_t now_ms;
  uint32_t rounds; /* requests that each slot has to serve first */
};

/* Requests that each slot of T has to serve before a new one, as far as known:
   rounded down, and 0 without a recent report.  */
static uint32_t
rounds_of (const struct wy_target *t, int64_t now_ms)
{
  int64_t load;

  if (!t->reported_ms || now_ms - t->reported_ms > LOAD_VALID_MS
      || !t->info.slots)
    return 0;
  load = (int64_t)t->reported_load + t->in_flight - t->in_flight_at_report;
  return load > (int64_t)t->info.slots
             ? (uint32_t)(load - t->info.slots) / t->info.slots
             : 0;
}

static void
visit (void *ctx, const struct wy_target *t)
{
  struct shortest_queue *q = ctx;

  if (is_ready (t, q->service))
    q->rounds = MIN (q->rounds, rounds_of (t, q->now_ms));
}

/* Whether a request of SERVICE that has TIME_LEFT_MS can't be served in time
   by any replica.  False if that is not known.  */
bool
wy_gate_is_too_late (struct wy_gate_env *env, const char *service,
                     int64_t time_left_ms)
{
  struct wy_service_time *s
      = wy_rejections_service_time (env->rejections, service);
  int64_t now_ms = wy_clock_mono_ms (env->clock);
  struct shortest_queue q = { service, now_ms, UINT32_MAX };
  struct wy_service_time_query query = { .time_left_ms = time_left_ms };

  if (wy_service_time_least_ms (s, now_ms) <= 0)
    return false;
  wy_targets_each (env->targets, visit, &q);
  if (q.rounds == UINT32_MAX)
    return false;
  query.rounds = q.rounds;
  return wy_service_time_is_too_short (s, &query, now_ms);
}
