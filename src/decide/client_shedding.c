/* Which clients' connections give way when memory or descriptors run short.

   A connection is ranked by what it costs others: bytes held, for how long.
   One that holds little, or has only just begun to, keeps its place, so an
   ordinary client is not affected by a crowd that holds much.  Requests in
   progress are ended last, since a reader may be the slow part of one but not
   the cause of its duration.  */
#include "decide/client_shedding.h"

#include <glib.h>

enum
{
  /* An incomplete request gives way after this time when memory is getting
     short; an ordinary one is complete much sooner.  */
  RECEIVING_MS = 1000,
  /* The same when requests with bodies are already rejected.  */
  RECEIVING_SHORT_MS = 250,
  /* A reader that has taken nothing for this long while there was something to
     take counts as silent.  */
  SILENT_MS = 2000,
  /* A reader that takes some, but has not caught up for this long, gives way
     after all silent ones.  */
  BEHIND_MS = 10000,
  /* A response that was just sent is left for this long for its reader.  */
  CLOSING_MS = 1000,
  /* The unread limit is divided by two to this power at each level.  */
  LEVEL_SHIFT = 4,
  /* What a connection without a request occupies.  */
  CONNECTION_BYTES = 2048,
  /* Idle connections may take up to this part of the memory budget.  */
  CONNECTIONS_MEMORY_DIVISOR = 4,
  DESCRIPTOR_PARTS = 32,
  CALLER_PARTS = 12,
  PEER_PARTS = 4,
  READINESS_PARTS = 1,
  METRICS_PARTS = 1
};

/* Groups of connections; all of a higher one go first.  */
enum group
{
  KEEPS,
  BUSY_SILENT,
  RECEIVES_AGAIN,
  IDLE,
  NOTHING_SERVED,
  UNREAD,
  CLOSED_UNREAD
};

static uint64_t
rank (enum group g, uint64_t within)
{
  return ((uint64_t)g << 56) | MIN (within, (UINT64_C (1) << 56) - 1);
}

/* The rank of V when a descriptor is needed for another connection; 0: it
   keeps its own.  Within a group the oldest goes first.  A crowd of
   connections that have never sent a request competes with itself, before idle
   connections of clients that were served.  */
uint64_t
wy_client_rank_for_descriptor (const struct wy_client_view *v)
{
  switch (v->state)
    {
    case WY_CLIENT_CLOSING:
      return v->state_ms >= CLOSING_MS ? rank (CLOSED_UNREAD, v->state_ms)
                                       : rank (RECEIVES_AGAIN, v->state_ms);
    case WY_CLIENT_IN_PROGRESS:
      return v->silent_ms >= SILENT_MS ? rank (BUSY_SILENT, v->silent_ms)
                                       : rank (KEEPS, 0);
    case WY_CLIENT_RECEIVING:
      return rank (v->has_served ? RECEIVES_AGAIN : NOTHING_SERVED,
                   v->state_ms + 1);
    case WY_CLIENT_WAITING:
      if (v->silent_ms >= SILENT_MS)
        return rank (UNREAD, v->silent_ms);
      if (v->unread_ms)
        return rank (KEEPS, 0);
      return rank (v->has_served ? IDLE : NOTHING_SERVED, v->state_ms + 1);
    }
  return rank (KEEPS, 0);
}

static uint64_t
cost (const struct wy_client_view *v, uint32_t held_ms)
{
  return v->held_bytes * (held_ms + (uint64_t)1);
}

static bool
is_receiving_too_long (const struct wy_client_view *v,
                       enum wy_memory_level level)
{
  if (v->state != WY_CLIENT_RECEIVING)
    return false;
  switch (level)
    {
    case WY_MEMORY_PAUSE_READING:
      return v->state_ms >= RECEIVING_MS;
    case WY_MEMORY_REJECT_NEW:
      return v->state_ms >= RECEIVING_SHORT_MS;
    case WY_MEMORY_SHED:
      return true;
    default:
      return false;
    }
}

/* The rank of V when memory is short by LEVEL; 0: it keeps what it holds.
   Incomplete requests give way before complete ones are rejected.  Unread
   responses do only when no request can be accepted any more.  */
uint64_t
wy_client_rank_for_memory (const struct wy_client_view *v,
                           enum wy_memory_level level)
{
  if (v->held_bytes == 0)
    return 0;
  if (is_receiving_too_long (v, level))
    return rank (RECEIVES_AGAIN, cost (v, v->state_ms));
  if (level < WY_MEMORY_SHED)
    return 0;
  if (v->silent_ms >= SILENT_MS)
    return rank (UNREAD, cost (v, v->silent_ms));
  if (v->unread_ms >= BEHIND_MS)
    return rank (BUSY_SILENT, cost (v, v->unread_ms));
  return 0;
}

/* The rank of V when a body needs the room of incomplete bodies; 0: it keeps
   it.  */
uint64_t
wy_client_rank_for_body (const struct wy_client_view *v)
{
  return is_receiving_too_long (v, WY_MEMORY_PAUSE_READING)
             ? cost (v, v->state_ms)
             : 0;
}

/* Bytes of unread responses up to which the next request of a connection is
   taken, LIMIT_BYTES while memory is not short.  */
uint32_t
wy_client_unread_limit (uint32_t limit_bytes, enum wy_memory_level level)
{
  return limit_bytes >> (LEVEL_SHIFT * (uint32_t)level);
}

static uint32_t
share (uint32_t descriptors, uint32_t parts)
{
  return MAX (descriptors / DESCRIPTOR_PARTS * parts, 1);
}

/* Divide the DESCRIPTORS of a process with the memory budget BUDGET_BYTES
   (0: none).  What is not given to listeners remains for calls to replicas,
   the store and peers: a request in progress needs one for each side.  */
void
wy_client_shares (uint32_t descriptors, int64_t budget_bytes,
                  struct wy_client_shares *out)
{
  int64_t by_memory = budget_bytes ? budget_bytes / CONNECTIONS_MEMORY_DIVISOR
                                         / CONNECTION_BYTES
                                   : UINT32_MAX;
  uint32_t callers = share (descriptors, CALLER_PARTS);

  out->callers = (uint32_t)MIN ((int64_t)callers, by_memory);
  out->peers = share (descriptors, PEER_PARTS);
  out->readiness = share (descriptors, READINESS_PARTS);
  out->metrics = share (descriptors, METRICS_PARTS);
}
