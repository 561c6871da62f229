/* Choice of the path of a call to the store.

   The store may reject, ignore or be unreachable from some instances while it
   serves the others.  Such an instance would act on old configuration and
   could confirm nothing.  So after one failed call the next goes through a
   peer, which forwards it unchanged, and the direct path is probed once a
   second.  When a third of all instances are rejected, so are a third of the
   peers: a peer that failed is skipped for a while, or every third call would
   fail, heartbeats included, and healthy instances would lose their jobs.  */
#include "rows/paths.h"

#include <string.h>

#include <glib.h>

enum
{
  /* Interval of probes of the direct path while it fails.  */
  PROBE_MS = 1000,
  /* How long a peer that could not forward a call is skipped.  */
  AVOID_RELAY_MS = 2000
};

static bool
same_address (const struct sockaddr_in *a, const struct sockaddr_in *b)
{
  return a->sin_addr.s_addr == b->sin_addr.s_addr
         && a->sin_port == b->sin_port;
}

static struct wy_relay *
find_relay (struct wy_paths *p, const struct sockaddr_in *address)
{
  for (size_t i = 0; i < p->n_relays; i++)
    if (same_address (&p->relays[i].address, address))
      return &p->relays[i];
  return NULL;
}

/* Initialise the paths to the store at DIRECT.  Relays are used in turn,
   starting with number FIRST_RELAY, which should differ between processes.  */
void
wy_paths_init (struct wy_paths *p, const struct sockaddr_in *direct,
               size_t first_relay)
{
  memset (p, 0, sizeof *p);
  p->direct = *direct;
  p->direct_ok = true;
  p->next_relay = first_relay;
}

/* Replace the relays by the N addresses PEERS.  Relays on both lists keep
   their state.  */
void
wy_paths_set_relays (struct wy_paths *p, const struct sockaddr_in *peers,
                     size_t n)
{
  struct wy_relay now[WY_PATHS_RELAYS_MAX] = { 0 };

  n = MIN (n, WY_PATHS_RELAYS_MAX);
  for (size_t i = 0; i < n; i++)
    {
      const struct wy_relay *known = find_relay (p, &peers[i]);

      now[i].address = peers[i];
      now[i].avoid_until_ms = known ? known->avoid_until_ms : 0;
    }
  memcpy (p->relays, now, sizeof now);
  p->n_relays = n;
}

/* The next relay in turn that has not failed recently, or if all have, the
   next one.  */
static const struct wy_relay *
next_relay (struct wy_paths *p, int64_t now_ms)
{
  for (size_t i = 0; i < p->n_relays; i++)
    {
      const struct wy_relay *r = &p->relays[p->next_relay++ % p->n_relays];

      if (now_ms >= r->avoid_until_ms)
        return r;
    }
  return &p->relays[p->next_relay++ % p->n_relays];
}

/* The address to send the next call to; sets RELAYED if it is a peer's.  */
struct sockaddr_in
wy_paths_choose (struct wy_paths *p, int64_t now_ms, bool *relayed)
{
  *relayed = false;
  if (p->direct_ok || p->n_relays == 0)
    return p->direct;
  if (now_ms >= p->next_probe_ms)
    {
      p->next_probe_ms = now_ms + PROBE_MS;
      return p->direct;
    }
  *relayed = true;
  return next_relay (p, now_ms)->address;
}

/* Whether a call that has just failed can be sent to a relay that has not
   failed recently.  */
bool
wy_paths_has_alternative (const struct wy_paths *p, int64_t now_ms)
{
  for (size_t i = 0; i < p->n_relays; i++)
    if (now_ms >= p->relays[i].avoid_until_ms)
      return true;
  return false;
}

/* Record the result of a direct call that was sent at STARTED_MS: answered
   (OK) or failed.  A call sent before the newest answered one says nothing by
   its failure.  Returns whether the state of the direct path changed.  */
bool
wy_paths_record_direct (struct wy_paths *p, int64_t started_ms, bool ok)
{
  bool before = p->direct_ok;

  if (ok && !p->direct_ok)
    p->direct_restored_ms = started_ms;
  if (ok || started_ms >= p->direct_answered_ms)
    p->direct_ok = ok;
  /* The failed call counts as a probe.  */
  if (before && !p->direct_ok)
    p->next_probe_ms = started_ms + PROBE_MS;
  if (ok && started_ms > p->direct_answered_ms)
    p->direct_answered_ms = started_ms;
  return before != p->direct_ok;
}

/* Record that the peer at PEER could not forward a call.  */
void
wy_paths_record_relay_failure (struct wy_paths *p,
                               const struct sockaddr_in *peer, int64_t now_ms)
{
  struct wy_relay *r = find_relay (p, peer);

  if (r)
    r->avoid_until_ms = now_ms + AVOID_RELAY_MS;
}
