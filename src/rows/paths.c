/* Which way a call to the store takes.

   The store may refuse, ignore or be cut off from some instances while it
   serves the others.  Such an instance would act on old configuration and
   could confirm nothing; so after one failed call the next goes through a
   peer, which passes it on unchanged, and the direct path is tried again every
   second.  Where a third of all instances are turned away, so are a third of
   the peers: one that failed is left out for a while, or every third call
   would fail all the time, and with it heartbeats, so that sound instances
   lose their jobs.  */
#include "rows/paths.h"

#include <string.h>

#include <glib.h>

enum
{
  /* How often the direct path is tried while it fails.  */
  PROBE_MS = 1000,
  /* How long a peer that could not pass a call on is left out.  */
  AVOID_RELAY_MS = 2000
};

static bool
same_address (const struct sockaddr_in *a, const struct sockaddr_in *b)
{
  return a->sin_addr.s_addr == b->sin_addr.s_addr
         && a->sin_port == b->sin_port;
}

static struct wy_path *
relay_at (struct wy_paths *p, const struct sockaddr_in *address)
{
  for (size_t i = 0; i < p->n_relays; i++)
    if (same_address (&p->relays[i].address, address))
      return &p->relays[i];
  return NULL;
}

/* Paths to the store at DIRECT; relays are used in turn from FIRST_RELAY on,
   which should differ between processes.  */
void
wy_paths_init (struct wy_paths *p, const struct sockaddr_in *direct,
               size_t first_relay)
{
  memset (p, 0, sizeof *p);
  p->direct = *direct;
  p->direct_ok = true;
  p->next_relay = first_relay;
}

/* The N addresses PEERS pass calls on from now on.  What is known of those
   that did so before stays.  */
void
wy_paths_set_relays (struct wy_paths *p, const struct sockaddr_in *peers,
                     size_t n)
{
  struct wy_path now[WY_PATHS_RELAYS_MAX] = { 0 };

  n = MIN (n, WY_PATHS_RELAYS_MAX);
  for (size_t i = 0; i < n; i++)
    {
      const struct wy_path *known = relay_at (p, &peers[i]);

      now[i].address = peers[i];
      now[i].avoid_until_ms = known ? known->avoid_until_ms : 0;
    }
  memcpy (p->relays, now, sizeof now);
  p->n_relays = n;
}

/* The next relay in turn that has not failed lately, or if all have, the next
   one.  */
static const struct wy_path *
next_relay (struct wy_paths *p, int64_t now_ms)
{
  for (size_t i = 0; i < p->n_relays; i++)
    {
      const struct wy_path *r = &p->relays[p->next_relay++ % p->n_relays];

      if (now_ms >= r->avoid_until_ms)
        return r;
    }
  return &p->relays[p->next_relay++ % p->n_relays];
}

/* Where the next call goes; RELAYED tells whether that is a peer.  */
struct sockaddr_in
wy_paths_choose (struct wy_paths *p, int64_t now_ms, bool *relayed)
{
  *relayed = false;
  if (p->direct_ok || p->n_relays == 0)
    return p->direct;
  if (now_ms >= p->probe_ms)
    {
      p->probe_ms = now_ms + PROBE_MS;
      return p->direct;
    }
  *relayed = true;
  return next_relay (p, now_ms)->address;
}

/* Whether a call that has just failed may find a path that works.  */
bool
wy_paths_has_other (const struct wy_paths *p, int64_t now_ms)
{
  for (size_t i = 0; i < p->n_relays; i++)
    if (now_ms >= p->relays[i].avoid_until_ms)
      return true;
  return false;
}

/* A direct call that began at STARTED_MS was answered, or failed.  Returns
   whether this changed what is believed of the direct path.  What was lost
   before the newest answer says nothing about it.  */
bool
wy_paths_direct_ended (struct wy_paths *p, int64_t started_ms, bool ok)
{
  bool before = p->direct_ok;

  if (ok && !p->direct_ok)
    p->regained_ms = started_ms;
  if (ok || started_ms >= p->direct_heard_ms)
    p->direct_ok = ok;
  /* The call that failed was a try.  */
  if (before && !p->direct_ok)
    p->probe_ms = started_ms + PROBE_MS;
  if (ok && started_ms > p->direct_heard_ms)
    p->direct_heard_ms = started_ms;
  return before != p->direct_ok;
}

/* The peer at PEER could not pass a call on.  */
void
wy_paths_relay_failed (struct wy_paths *p, const struct sockaddr_in *peer,
                       int64_t now_ms)
{
  struct wy_path *r = relay_at (p, peer);

  if (r)
    r->avoid_until_ms = now_ms + AVOID_RELAY_MS;
}
