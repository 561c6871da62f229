/* The stop of an entry.  */
#include "decide/stop.h"

enum
{
  /* The load balancer checks readiness once a second and acts on the second
     failure; new connections arrive for this long after a stop request.  */
  BALANCER_DRAIN_MS = 2500,
  /* The entry leaves, so that others take over its jobs, when the grace time
     divided by this has passed.  */
  LEAVE_DIVISOR = 2,
  /* Requests are given up this long before the grace time ends, so that their
     answers reach the callers.  */
  GIVE_UP_MARGIN_MS = 1200,
  /* The process exits this long before the grace time ends.  */
  EXIT_MARGIN_MS = 400,
  /* A request that may be repeated is taken if this many times its typical
     duration is left.  */
  TYPICAL_FACTOR = 4,
  /* A connection that was just accepted, or whose answer was just sent, may
     have a request under way.  */
  IDLE_MIN_MS = 300
};

static int64_t
give_up_at_ms (const struct wy_stop *s)
{
  return s->grace_ms - GIVE_UP_MARGIN_MS;
}

/* Return whether R, which has reached the stopping entry, is served.  If not,
   it is refused at once, before anything of it has run.  */
bool
wy_stop_admits (const struct wy_stop *s, const struct wy_stop_request *r)
{
  int64_t left_ms = give_up_at_ms (s) - s->since_ms;

  if (left_ms <= 0)
    return false;
  if (r->limit_ms && r->limit_ms <= left_ms)
    return true;
  return r->is_repeatable && r->typical_ms
         && r->typical_ms * TYPICAL_FACTOR <= left_ms;
}

/* Return whether a connection that has had no request for IDLE_MS is closed.
   As long as new connections arrive its caller gains nothing by a close, and
   its next response announces one.  */
bool
wy_stop_closes_idle (const struct wy_stop *s, int64_t idle_ms)
{
  return s->since_ms >= BALANCER_DRAIN_MS && idle_ms >= IDLE_MIN_MS;
}

/* Return whether requests in progress whose response has not begun get their
   final answer now.  */
bool
wy_stop_gives_up (const struct wy_stop *s)
{
  return s->since_ms >= give_up_at_ms (s);
}

/* Return what the entry with the work W is to do next.  Work in progress is
   finished first.  */
enum wy_stop_step
wy_stop_next (const struct wy_stop *s, const struct wy_stop_work *w)
{
  if (s->since_ms >= s->grace_ms - EXIT_MARGIN_MS)
    return WY_STOP_END_OF_TIME;
  if (!w->has_left)
    return s->since_ms >= s->grace_ms / LEAVE_DIVISOR
                   || (s->since_ms >= BALANCER_DRAIN_MS && w->jobs == 0)
               ? WY_STOP_LEAVE
               : WY_STOP_GO_ON;
  return w->connections == 0 && w->jobs == 0 ? WY_STOP_END_IDLE
                                             : WY_STOP_GO_ON;
}
