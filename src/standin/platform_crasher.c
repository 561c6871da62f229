/* Callers of the platform stand-in whose request crashes each replica that
   runs it.  It is sent to all entries in turn, first in the middle of the
   random faults and on through the calm after them, then a new one in a phase
   of its own in which replicas return before their rows lapse.  Once the
   faults are over and every entry has had time to learn of three crashes, it
   may not reach replicas any more.  */
#include "standin/platform.h"

#include <stdio.h>
#include <string.h>

#include "base/id.h"

enum
{
  CALLERS = 4,
  INTERVAL_MS = 40,
  /* Within this time of the third crash every entry must know.  */
  KNOWN_MS = 3000,
  CRASHES_MIN = 3,
  LATE_RUNS_MAX = 3,
  RETURN_MIN_MS = 400,
  RETURN_MAX_MS = 1600,
  /* In the last phase: about as long as KNOWN_MS, and less than the time in
     which a row lapses.  */
  RETURN_LATE_MIN_MS = 2900,
  RETURN_LATE_MAX_MS = 3300,
  /* From the start of the last phase until its request is sent, in which
     every entry reads the replicas' new addresses.  */
  LIST_MS = 1500,
  ID_SIZE_BYTES = 48
};

#define BODY_IN_FAULTS WY_PLATFORM_CRASHING "in-faults"
#define BODY_IN_CALM WY_PLATFORM_CRASHING "in-calm"

static uv_timer_t timer;

/* Whether BODY of N bytes is that of a request that crashes replicas.  */
bool
wy_platform_is_crashing (const char *body, size_t n)
{
  return n >= strlen (WY_PLATFORM_CRASHING)
         && !memcmp (body, WY_PLATFORM_CRASHING,
                     strlen (WY_PLATFORM_CRASHING));
}

/* The crashing request REQUEST with BODY of N bytes runs on REPLICA.  */
void
wy_platform_crasher_ran (struct wy_platform *p, const char *request,
                         const char *replica, const char *body, size_t n)
{
  struct wy_platform_crasher *k = &p->crasher;
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];

  wy_platform_digest (body, n, digest);
  wy_trace_event (p->standin->trace, "replica.crashed", "{s:s, s:s, s:s}",
                  "req", request, "replica", replica, "digest", digest);
  if (n != strlen (k->body) || memcmp (body, k->body, n) != 0)
    return;
  if (++k->runs == CRASHES_MIN)
    k->third_ms = uv_now (p->standin->loop);
  if (k->must_be_known && ++k->late_runs == LATE_RUNS_MAX + 1)
    wy_platform_violation (
        p, "%s reached replicas again %u ms after the third crash", k->body,
        (unsigned)(uv_now (p->standin->loop) - k->third_ms));
}

static void
check_known (struct wy_platform *p)
{
  struct wy_platform_crasher *k = &p->crasher;
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];

  if (k->must_be_known || !p->faults_over || !k->third_ms
      || uv_now (p->standin->loop) - k->third_ms <= KNOWN_MS)
    return;
  k->must_be_known = true;
  wy_platform_digest (k->body, strlen (k->body), digest);
  wy_trace_event (p->standin->trace, "crash.known", "{s:s}", "digest", digest);
}

static void
on_done (struct wy_platform_call *c, int err)
{
  char id[ID_SIZE_BYTES];

  c->platform->crasher.pending--;
  snprintf (id, sizeof id, WY_PLATFORM_CALL_ID "crash-%u", c->number);
  wy_platform_record_response (c, id, err);
}

static void
send_request (struct wy_platform *p)
{
  struct wy_platform_crasher *k = &p->crasher;
  struct wy_platform_call *c;
  char id[ID_SIZE_BYTES];

  snprintf (id, sizeof id, WY_PLATFORM_CALL_ID "crash-%u", k->sent);
  wy_trace_event (p->standin->trace, "caller.sent", "{s:s}", "key", id);
  c = wy_platform_call (p, "POST", WY_PLATFORM_CALLS "x", id, k->body);
  c->number = k->sent++;
  c->on_done = on_done;
  k->pending++;
}

static void
set_return (struct wy_platform *p, uint32_t min_ms, uint32_t max_ms,
            bool renamed)
{
  for (int i = 0; i < WY_PLATFORM_DESKS; i++)
    {
      struct wy_platform_replica_faults *f
          = wy_platform_replica_faults (p->desks[i]);

      f->return_ms
          = min_ms + wy_rng_below (&p->crasher.rng, max_ms - min_ms + 1);
      f->return_renamed = renamed;
    }
}

/* Send another request that crashes replicas, which return under new ids
   before their rows lapse.  */
static void
send_another (struct wy_platform *p)
{
  struct wy_platform_crasher *k = &p->crasher;

  k->body = BODY_IN_CALM;
  k->runs = 0;
  k->late_runs = 0;
  k->third_ms = 0;
  k->must_be_known = false;
  set_return (p, RETURN_LATE_MIN_MS, RETURN_LATE_MAX_MS, true);
}

static void
on_timer (uv_timer_t *t)
{
  struct wy_platform *p = t->data;

  if (p->in_crash_phase && strcmp (p->crasher.body, BODY_IN_CALM) != 0
      && uv_now (t->loop) - p->crash_phase_ms >= LIST_MS)
    send_another (p);
  check_known (p);
  if (!p->ending && p->crasher.pending < CALLERS)
    send_request (p);
}

/* Start sending a request that crashes replicas, in the middle of the random
   faults.  */
void
wy_platform_crasher_start (struct wy_platform *p)
{
  wy_rng_seed (&p->crasher.rng, (uint64_t)p->standin->common->seed);
  p->crasher.body = BODY_IN_FAULTS;
  set_return (p, RETURN_MIN_MS, RETURN_MAX_MS, false);
  uv_timer_init (p->standin->loop, &timer);
  timer.data = p;
  uv_timer_start (&timer, on_timer, p->random_faults_ms / 2, INTERVAL_MS);
}

/* Begin the last phase.  */
void
wy_platform_crasher_begin_phase (struct wy_platform *p)
{
  p->in_crash_phase = true;
  p->crash_phase_ms = uv_now (p->standin->loop);
}
