/* Time after which rejected callers may return.

   If all callers that are rejected in one moment are told the same time, they
   return in one moment and most of them are rejected again.  So each is told
   when a slot is expected to be free for it: after those that were rejected
   before it and have not returned yet, at the rate at which work has ended
   here in the last seconds.  */
#include "decide/retry_after.h"

#include <math.h>
#include <string.h>

enum
{
  /* Some hundred ms are too short for services with few requests per second;
     after tens of seconds a lower rate would be noticed too late.  */
  PERIOD_MS = 2000,
  /* A rate observed before a failure says nothing about the time after it.  */
  EXPIRY_MS = 5000,
  /* Fewer ends, or all within a shorter time, say too little about the
     rate.  */
  ENDS_MIN = 4,
  OBSERVED_MIN_MS = 500,
  /* An earlier return costs the caller an attempt for nothing: that long a
     replica usually rejects again.  */
  TOLD_MIN_MS = 50,
  /* Callers honour at most this part of the time that they have left.  */
  TIME_LEFT_DIVISOR = 3,
  /* A caller returns late by its own delays and those of the network.  */
  RETURN_GRACE_MS = 500,
  MS_PER_S = 1000
};

/* Part of a time that varies at random, so that callers which several entries
   reject in one moment don't return together.  */
static const double jitter = 0.1;

/* Initialise S without observations.  */
void
wy_retry_after_init (struct wy_retry_after *s,
                     const struct wy_retry_after_options *o)
{
  memset (s, 0, sizeof *s);
  s->period_ms = o->period_ms ? o->period_ms : PERIOD_MS;
  s->expiry_ms = o->expiry_ms ? o->expiry_ms : EXPIRY_MS;
}

static double
decay (const struct wy_retry_after *s, int64_t ms)
{
  return exp (-(double)ms / s->period_ms);
}

/* Record that a request or job has ended and its capacity is free again.  */
void
wy_retry_after_ended (struct wy_retry_after *s, int64_t now_ms)
{
  if (s->n_ended == 0 || now_ms - s->last_end_ms > (int64_t)s->expiry_ms)
    {
      s->ended = 0;
      s->n_ended = 0;
      s->first_end_ms = now_ms;
    }
  else
    s->ended *= decay (s, now_ms - s->last_end_ms);
  s->ended++;
  s->n_ended++;
  s->last_end_ms = now_ms;
}

/* Ends per second, averaged over the last seconds; 0 if not known.  */
double
wy_retry_after_rate_hz (const struct wy_retry_after *s, int64_t now_ms)
{
  int64_t observed_ms = now_ms - s->first_end_ms;
  double sum;

  if (s->n_ended < ENDS_MIN || observed_ms < OBSERVED_MIN_MS
      || now_ms - s->last_end_ms > (int64_t)s->expiry_ms)
    return 0;
  sum = s->ended * decay (s, now_ms - s->last_end_ms);
  /* The average covers only the time since the first end.  */
  return sum * MS_PER_S / (s->period_ms * (1 - decay (s, observed_ms)));
}

/* Count the rejected callers that are still to return, and set LATEST_MS to
   the time that the last of them was told, or to NOW_MS.  */
static uint32_t
count_away (const struct wy_retry_after *s, int64_t now_ms, int64_t *latest_ms)
{
  uint32_t n = 0;

  *latest_ms = now_ms;
  for (uint32_t i = 0; i < WY_RETRY_AFTER_CALLERS_MAX; i++)
    if (s->caller[i].due_ms > now_ms)
      {
        n++;
        if (s->caller[i].due_ms > *latest_ms)
          *latest_ms = s->caller[i].due_ms;
      }
  return n;
}

/* Delay of the caller of Q by the rate: after AHEAD other callers, the last of
   which returns in LATEST_MS.  Only the step from one caller to the next is
   jittered, so that the order stays.  */
static double
delay_by_rate_ms (const struct wy_retry_after_query *q, uint32_t ahead,
                  int64_t latest_ms, double rate_hz)
{
  double interval_ms = MS_PER_S / rate_hz;
  double start_ms = fmax ((double)latest_ms, ahead * interval_ms);

  return fmax (start_ms, q->not_before_ms)
         + interval_ms * (1 + jitter * (q->random - 0.5));
}

/* Limit MS to the time within which the caller of Q returns at all.  Callers
   beyond a limit are spread beside it.  */
static double
limit_ms (const struct wy_retry_after_query *q, double ms)
{
  double max_ms = (double)q->time_left_ms / TIME_LEFT_DIVISOR;

  if (q->time_left_ms >= 0 && ms > max_ms)
    ms = max_ms * (1 - jitter * q->random);
  return fmax (ms, TOLD_MIN_MS * (1 + jitter * q->random));
}

static void
add_caller (struct wy_retry_after *s, uint64_t fingerprint, int64_t due_ms)
{
  s->caller[s->next].fingerprint = fingerprint;
  s->caller[s->next].due_ms = due_ms;
  s->next = (s->next + 1) % WY_RETRY_AFTER_CALLERS_MAX;
  if (due_ms > s->last_due_ms)
    s->last_due_ms = due_ms;
}

/* The time after which the caller of Q, which is being rejected, should
   return.  A known end of the reason takes precedence over the rate.  Without
   an observation the default applies unchanged.  */
struct wy_retry_after_time
wy_retry_after_tell (struct wy_retry_after *s,
                     const struct wy_retry_after_query *q, int64_t now_ms)
{
  struct wy_retry_after_time t = { .ms = q->default_ms };
  int64_t latest_ms;
  double ms = 0;

  t.ahead = count_away (s, now_ms, &latest_ms);
  t.rate_hz = wy_retry_after_rate_hz (s, now_ms);
  if (q->known_end_ms >= 0)
    {
      t.basis = WY_RETRY_AFTER_KNOWN_END;
      ms = (double)q->known_end_ms * (1 + jitter * q->random);
    }
  else if (q->by_rate && t.rate_hz > 0)
    {
      /* Where few requests arrived, few ended, although more could have.  */
      t.rate_hz = fmax (t.rate_hz, q->least_rate_hz);
      t.basis = WY_RETRY_AFTER_RATE;
      ms = delay_by_rate_ms (q, t.ahead, latest_ms - now_ms, t.rate_hz);
    }
  if (t.basis != WY_RETRY_AFTER_CONSTANT)
    t.ms = (uint32_t)ceil (limit_ms (q, ms));
  if (q->fingerprint)
    add_caller (s, q->fingerprint, now_ms + t.ms);
  return t;
}

/* Whether a rejected caller may still return in time.  If not, fingerprints
   needn't be computed.  */
bool
wy_retry_after_expects_any (const struct wy_retry_after *s, int64_t now_ms)
{
  return s->last_due_ms && now_ms <= s->last_due_ms + RETURN_GRACE_MS;
}

/* A request with FINGERPRINT has arrived.  If its caller was rejected before,
   it is no longer away.  */
enum wy_return
wy_retry_after_returned (struct wy_retry_after *s, uint64_t fingerprint,
                         int64_t now_ms)
{
  for (uint32_t i = 0; i < WY_RETRY_AFTER_CALLERS_MAX; i++)
    {
      struct wy_rejected_caller *c = &s->caller[i];
      int64_t late_ms = now_ms - c->due_ms;

      if (c->due_ms == 0 || c->fingerprint != fingerprint)
        continue;
      c->due_ms = 0;
      return late_ms < 0                  ? WY_RETURN_EARLY
             : late_ms <= RETURN_GRACE_MS ? WY_RETURN_IN_TIME
                                          : WY_RETURN_LATE;
    }
  return WY_RETURN_NONE;
}
