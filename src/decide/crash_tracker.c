/* Tells requests that crash their targets from those that merely lost a
   connection.

   Seen from one caller a crash, a reset and a cut network look the same: the
   answer does not come.  So a run that breaks off is only noted, and counts
   against its request once the target leaves the list of targets or stands
   there with a new start, soon after.  The load answered is one request that
   comes again and again, or an item that is run until it has a result: without
   this it would take down one replica after another, each with all that runs
   there, for as long as it is sent.  */
#include "decide/crash_tracker.h"

#include <string.h>

#include "base/id.h"

enum
{
  /* A crashed target leaves the list after some missed heartbeats or comes
     back within seconds; what broke off longer before has another cause.  */
  CONFIRM_MS = 10000,
  /* Work that has broken off, unstarted, this often in a row waits before the
     next run, twice as long each time.  Fewer are common without a crash:
     kept connections that the target has dropped.  */
  FREE_BREAKS = 3,
  PAUSE_MIN_MS = 500,
  PAUSE_MAX_DOUBLINGS = 7
};

/* Make W empty.  */
void
wy_crash_tracker_init (struct wy_crash_tracker *w)
{
  memset (w, 0, sizeof *w);
  wy_suspects_init (&w->suspects);
}

static uint64_t
hash_of (const char *target)
{
  return wy_hash64 (target, strlen (target), 0);
}

/* The run of FINGERPRINT at TARGET broke off without an answer.  */
void
wy_crash_tracker_run_interrupted (struct wy_crash_tracker *w,
                                  uint64_t fingerprint, const char *target,
                                  int64_t now_ms)
{
  struct wy_broken_run *b = &w->broken[w->next];

  w->next = (w->next + 1) % WY_BROKEN_RUNS_MAX;
  b->fingerprint = fingerprint;
  b->target = hash_of (target);
  b->at_ms = now_ms;
}

/* TARGET has left the list or has started anew: what broke off there shortly
   before counts.  Returns the number of requests that are held back from now
   on.  */
uint32_t
wy_crash_tracker_target_crashed (struct wy_crash_tracker *w,
                                 const char *target, int64_t now_ms)
{
  uint64_t hash = hash_of (target);
  uint32_t running = 0;
  uint32_t held = 0;

  for (uint32_t i = 0; i < WY_BROKEN_RUNS_MAX; i++)
    running += w->broken[i].fingerprint && w->broken[i].target == hash;
  for (uint32_t i = 0; i < WY_BROKEN_RUNS_MAX; i++)
    {
      struct wy_broken_run *b = &w->broken[i];

      if (b->fingerprint == 0 || b->target != hash)
        continue;
      if (now_ms - b->at_ms <= CONFIRM_MS)
        {
          wy_suspects_record_crash (&w->suspects, b->fingerprint, hash,
                                    running, now_ms);
          held += wy_crash_tracker_is_blocked (w, b->fingerprint, now_ms);
        }
      b->fingerprint = 0;
    }
  return held;
}

/* The request of FINGERPRINT has been answered.  */
void
wy_crash_tracker_clear (struct wy_crash_tracker *w, uint64_t fingerprint)
{
  wy_suspects_clear (&w->suspects, fingerprint);
}

/* Whether there is any suspect, so that a fingerprint is worth computing.  */
bool
wy_crash_tracker_has_suspects (const struct wy_crash_tracker *w)
{
  return w->suspects.n > 0;
}

/* Whether the request of FINGERPRINT must not run now.  */
bool
wy_crash_tracker_is_blocked (struct wy_crash_tracker *w, uint64_t fingerprint,
                             int64_t now_ms)
{
  return wy_suspects_check (&w->suspects, fingerprint, now_ms)
         == WY_SUSPICION_REFUSE;
}

/* How long work waits that can't be refused and has broken off UNSTARTED
   times in a row, each time before it gave a sign of life.  */
int64_t
wy_crash_tracker_backoff_ms (uint32_t unstarted)
{
  uint32_t n = unstarted < FREE_BREAKS ? 0 : unstarted - FREE_BREAKS;

  if (unstarted < FREE_BREAKS)
    return 0;
  return (int64_t)PAUSE_MIN_MS
         << (n < PAUSE_MAX_DOUBLINGS ? n : PAUSE_MAX_DOUBLINGS);
}
