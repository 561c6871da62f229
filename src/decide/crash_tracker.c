/* Tells requests that crash their targets from those that only lost a
   connection.

   To the client of a target, a crash, a connection reset and a network
   partition look the same: there is no response.  So an interrupted run is
   only recorded.  It counts as a crash if shortly afterwards the target's port
   refuses connections, or the target disappears from the list of targets or
   appears there with a new start time.
   This protects against a request that is repeated by its caller, or an item
   that is retried until it has a result: it would crash one replica after
   another, together with everything else that runs there.  */
#include "decide/crash_tracker.h"

#include <string.h>

enum
{
  /* Runs in a row that were interrupted before they produced anything, after
     which the next one is delayed with exponential backoff.  Fewer are common
     without a crash, when the target has closed an idle keep-alive connection.
   */
  BACKOFF_AFTER_RUNS = 3,
  BACKOFF_MIN_MS = 500,
  BACKOFF_DOUBLINGS_MAX = 7
};

void
wy_crash_tracker_init (struct wy_crash_tracker *t)
{
  memset (t, 0, sizeof *t);
  wy_suspects_init (&t->suspects);
}

static struct wy_interrupted_run *
add_run (struct wy_crash_tracker *t, uint64_t fingerprint,
         uint64_t incarnation, int64_t now_ms)
{
  struct wy_interrupted_run *r = &t->run[t->next];

  t->next = (t->next + 1) % WY_INTERRUPTED_RUNS_MAX;
  *r = (struct wy_interrupted_run){ .fingerprint = fingerprint,
                                    .incarnation = incarnation,
                                    .at_ms = now_ms };
  return r;
}

/* Record that the run of the request with FINGERPRINT, or of an item if it is
   0, at a target's INCARNATION was interrupted before the end of the response.
   The oldest record is overwritten if all are in use.  */
void
wy_crash_tracker_run_interrupted (struct wy_crash_tracker *t,
                                  uint64_t fingerprint, uint64_t incarnation,
                                  int64_t now_ms)
{
  add_run (t, fingerprint, incarnation, now_ms)->is_open = true;
}

/* Record that this entry has cancelled the run of the request with FINGERPRINT
   at a target's INCARNATION: if it crashes the target, no connection shows
   it.  */
void
wy_crash_tracker_run_cancelled (struct wy_crash_tracker *t,
                                uint64_t fingerprint, uint64_t incarnation,
                                int64_t now_ms)
{
  add_run (t, fingerprint, incarnation, now_ms)->is_cancelled = true;
}

/* It is known, or can't be found out at once, whether the INCARNATION of a
   target has crashed.  */
void
wy_crash_tracker_verdict (struct wy_crash_tracker *t, uint64_t incarnation)
{
  for (uint32_t i = 0; i < WY_INTERRUPTED_RUNS_MAX; i++)
    if (t->run[i].incarnation == incarnation)
      t->run[i].is_open = false;
}

/* Whether a run of the request with FINGERPRINT was interrupted and it will be
   known soon whether its target has crashed.  */
bool
wy_crash_tracker_is_open (const struct wy_crash_tracker *t,
                          uint64_t fingerprint, int64_t now_ms)
{
  for (uint32_t i = 0; i < WY_INTERRUPTED_RUNS_MAX; i++)
    {
      const struct wy_interrupted_run *r = &t->run[i];

      if (r->is_open && r->fingerprint == fingerprint
          && now_ms - r->at_ms < WY_CRASH_VERDICT_MS)
        return true;
    }
  return false;
}

/* Pass EV on to the owner of T.  */
void
wy_crash_tracker_report (struct wy_crash_tracker *t,
                         const struct wy_crash_event *ev)
{
  if (t->on_crash)
    t->on_crash (t->ctx, ev);
}

/* Count the crash of a target, under which RUNNING runs were interrupted,
   against the request of R.  Returns whether the request is blocked from now
   on.  */
static bool
count_crash (struct wy_crash_tracker *t, const struct wy_interrupted_run *r,
             uint32_t running, int64_t now_ms)
{
  struct wy_crash_event ev = { .fingerprint = r->fingerprint,
                               .running = running,
                               .age_ms = now_ms - r->at_ms };

  ev.crashes = wy_suspects_record_crash (&t->suspects, r->fingerprint,
                                         r->incarnation, running, now_ms);
  ev.is_blocked = wy_crash_tracker_is_blocked (t, r->fingerprint, now_ms);
  wy_crash_tracker_report (t, &ev);
  return ev.is_blocked;
}

static int64_t
confirm_ms (const struct wy_interrupted_run *r)
{
  return r->is_cancelled ? WY_CRASH_CANCELLED_MS : WY_CRASH_CONFIRM_MS;
}

/* The INCARNATION of a target has crashed: count it against each request whose
   run there was interrupted shortly before.  */
struct wy_crash_counts
wy_crash_tracker_target_crashed (struct wy_crash_tracker *t,
                                 uint64_t incarnation, int64_t now_ms)
{
  struct wy_crash_counts n = { 0 };
  uint32_t running = 0;

  for (uint32_t i = 0; i < WY_INTERRUPTED_RUNS_MAX; i++)
    running += t->run[i].incarnation == incarnation;
  for (uint32_t i = 0; i < WY_INTERRUPTED_RUNS_MAX; i++)
    {
      struct wy_interrupted_run *r = &t->run[i];

      if (r->incarnation != incarnation)
        continue;
      if (now_ms - r->at_ms <= confirm_ms (r))
        {
          n.counted++;
          n.blocked += r->fingerprint && count_crash (t, r, running, now_ms);
        }
      *r = (struct wy_interrupted_run){ 0 };
    }
  return n;
}

/* Discard the crashes of targets that are still running, as IS_RUNNING says
   from the list, after the time within which it shows each crash.  A refused
   connection may also come from the network between.  To be called while the
   list has been up to date for as long.  */
void
wy_crash_tracker_verify (struct wy_crash_tracker *t,
                         bool (*is_running) (const void *ctx,
                                             uint64_t incarnation),
                         const void *ctx, int64_t now_ms)
{
  for (uint32_t i = 0; i < WY_SUSPECTS_MAX && t->suspects.n > 0; i++)
    {
      struct wy_crash_event ev
          = { .fingerprint = t->suspects.slot[i].fingerprint,
              .is_refuted = true };

      if (wy_suspects_verify (&t->suspects, i, WY_CRASH_CONFIRM_MS, is_running,
                              ctx, now_ms)
          == 0)
        continue;
      ev.crashes = t->suspects.slot[i].crashes;
      wy_crash_tracker_report (t, &ev);
    }
}

/* The request with FINGERPRINT got a response and is no longer suspect.  */
void
wy_crash_tracker_clear (struct wy_crash_tracker *t, uint64_t fingerprint)
{
  wy_suspects_clear (&t->suspects, fingerprint);
}

/* Whether there is any suspect.  If not, fingerprints needn't be
   computed.  */
bool
wy_crash_tracker_has_suspects (const struct wy_crash_tracker *t)
{
  return t->suspects.n > 0;
}

/* Whether the request with FINGERPRINT must not run now.  */
bool
wy_crash_tracker_is_blocked (struct wy_crash_tracker *t, uint64_t fingerprint,
                             int64_t now_ms)
{
  return wy_suspects_check (&t->suspects, fingerprint, now_ms)
         == WY_SUSPICION_REFUSE;
}

/* Delay in milliseconds before the next run of work that can't be rejected and
   whose last UNSTARTED runs were interrupted before they produced anything.
   */
int64_t
wy_crash_tracker_backoff_ms (uint32_t unstarted)
{
  uint32_t n
      = unstarted < BACKOFF_AFTER_RUNS ? 0 : unstarted - BACKOFF_AFTER_RUNS;

  if (unstarted < BACKOFF_AFTER_RUNS)
    return 0;
  return (int64_t)BACKOFF_MIN_MS
         << (n < BACKOFF_DOUBLINGS_MAX ? n : BACKOFF_DOUBLINGS_MAX);
}
