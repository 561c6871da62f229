/* State machine of one lease in one process.

   Clocks of different processes are never compared.  A holder measures the
   lease on its own monotonic clock from before it sent the renewal, and stops
   a margin early.  The others measure from when they first read a row, and
   acquire the lease when the row has not changed for the duration of the lease
   and a margin.  So steps of the wall clock have no effect.  The clock of a
   paused process may stand still, and the process may believe that it holds a
   lease acquired by another.  So a gap between two steps ends the lease, and
   any write that slips through is rejected for its old fencing token.  */
#include "lease/state.h"

#include <stddef.h>

/* A gap of a quarter of the lease is too long for a scheduling delay: the
   process was paused, and its monotonic clock may not have counted all of
   it.  */
#define MAX_GAP_DIVISOR 4
/* Margin at each end for clocks of different speed and for a side effect in
   progress when the lease ends.  */
#define MARGIN_DIVISOR 12
/* Renewing after a third of the lease leaves time for a second attempt.  */
#define RENEW_DIVISOR 3
/* Reads during one lease by a process that waits for it.  A renewal is
   observed up to one such interval late, which delays the takeover from a dead
   holder.  */
#define READ_DIVISOR 4

/* Initialize S for leases of TTL_MS.  */
void
wy_lease_state_init (struct wy_lease_state *s, uint32_t ttl_ms, int64_t now_ms)
{
  *s = (struct wy_lease_state){ .next_ms = now_ms, .last_checked_ms = now_ms };
  wy_lease_set_ttl (s, ttl_ms);
}

/* Set the duration of the lease to TTL_MS from the next renewal on.  It is
   stored in the row, so that other processes wait as long.  */
void
wy_lease_set_ttl (struct wy_lease_state *s, uint32_t ttl_ms)
{
  s->ttl_ms = ttl_ms;
  s->max_gap_ms = ttl_ms / MAX_GAP_DIVISOR;
}

static uint32_t
margin_ms (uint32_t ttl_ms)
{
  return ttl_ms / MARGIN_DIVISOR;
}

/* When the lease may be acquired, by the row last read.  */
static int64_t
available_ms (const struct wy_lease_state *s)
{
  if (s->row.rev == 0 || s->row.released || s->row.own)
    return s->row_observed_ms;
  return s->row_observed_ms + s->row.ttl_ms + margin_ms (s->row.ttl_ms);
}

/* Whether the lease is held at NOW_MS.  Check before each side effect.  */
bool
wy_lease_holds (const struct wy_lease_state *s, int64_t now_ms)
{
  return s->held && now_ms < s->until_ms
         && now_ms - s->last_checked_ms <= s->max_gap_ms;
}

/* The step to take at NOW_MS.  WY_LEASE_LOST is returned once each time the
   lease is lost; call again at once after it.  */
enum wy_lease_step
wy_lease_next_step (struct wy_lease_state *s, int64_t now_ms)
{
  bool holds = wy_lease_holds (s, now_ms);

  s->last_checked_ms = now_ms;
  if (s->held && !holds)
    {
      s->held = false;
      s->row_is_current = false;
      s->next_ms = now_ms;
      return WY_LEASE_LOST;
    }
  if (s->pending || now_ms < s->next_ms)
    return WY_LEASE_WAIT;
  if (s->held)
    return s->row_is_current ? WY_LEASE_RENEW : WY_LEASE_READ;
  if (s->row_is_current && now_ms >= available_ms (s))
    return WY_LEASE_ACQUIRE;
  return WY_LEASE_READ;
}

/* The request for the step from wy_lease_next_step has been sent.  */
void
wy_lease_on_sent (struct wy_lease_state *s)
{
  s->pending = true;
}

static bool
is_own_row (const struct wy_lease_state *s, const struct wy_lease_row *row)
{
  return row->own && !row->released
         && row->fencing_token == s->row.fencing_token;
}

/* ROW was read.  JITTER_MS delays the next read, so that the processes waiting
   for a lease don't all read at once.  */
void
wy_lease_on_read (struct wy_lease_state *s, int64_t now_ms,
                  const struct wy_lease_row *row, uint32_t jitter_ms)
{
  int64_t until;

  s->pending = false;
  if (s->held)
    {
      if (!is_own_row (s, row))
        s->until_ms = now_ms;
      s->row = *row;
      s->row_is_current = true;
      s->next_ms = now_ms;
      return;
    }
  /* A row with the same rev has not been renewed, even if reads have failed in
     between.  Otherwise all would wait for a full lease again after a store
     outage.  */
  if (!s->has_row || s->row.rev != row->rev)
    s->row_observed_ms = now_ms;
  s->row = *row;
  s->row_is_current = true;
  s->has_row = true;
  until = available_ms (s);
  s->next_ms = now_ms + s->ttl_ms / READ_DIVISOR + jitter_ms;
  if (until < s->next_ms)
    s->next_ms = until > now_ms ? until + jitter_ms : now_ms;
}

/* The lease was acquired by a transaction sent at SENT_MS that wrote ROW.  */
void
wy_lease_on_acquired (struct wy_lease_state *s, int64_t sent_ms,
                      int64_t now_ms, const struct wy_lease_row *row)
{
  s->pending = false;
  s->row = *row;
  s->row_observed_ms = now_ms;
  s->row_is_current = true;
  s->has_row = true;
  s->until_ms = sent_ms + s->ttl_ms - margin_ms (s->ttl_ms);
  s->next_ms = sent_ms + s->ttl_ms / RENEW_DIVISOR;
  s->held = now_ms < s->until_ms;
}

/* A renewal sent at SENT_MS succeeded and changed the row's revision to REV.
   If the lease has ended meanwhile, it stays ended: the holder has stopped its
   work.  */
void
wy_lease_on_renewed (struct wy_lease_state *s, int64_t sent_ms, int64_t now_ms,
                     int64_t rev)
{
  s->pending = false;
  if (!wy_lease_holds (s, now_ms))
    return;
  s->row.rev = rev;
  s->until_ms = sent_ms + s->ttl_ms - margin_ms (s->ttl_ms);
  s->next_ms = sent_ms + s->ttl_ms / RENEW_DIVISOR;
}

/* The step failed.  After a CONFLICT another process holds the lease.
   Otherwise the write may have succeeded or not.  Either way the rows are read
   again after JITTER_MS.  */
void
wy_lease_on_failed (struct wy_lease_state *s, int64_t now_ms, bool conflict,
                    uint32_t jitter_ms)
{
  s->pending = false;
  s->row_is_current = false;
  s->next_ms = now_ms + jitter_ms;
  if (s->held && conflict)
    s->until_ms = now_ms;
}
