/* Which way calls to the store take while it turns some instances away.  */
#include <criterion/criterion.h>
#include <string.h>

#include "base/rng.h"
#include "rows/paths.h"

enum
{
  PEERS = 32,
  CALLS_PER_S = 20,
  SECONDS = 9,
  TRIES = 4
};

static struct sockaddr_in
address (uint16_t n)
{
  struct sockaddr_in a = { .sin_family = AF_INET };

  a.sin_addr.s_addr = htonl (0x7f000001);
  a.sin_port = htons (n);
  return a;
}

static void
make_paths (struct wy_paths *p, size_t first)
{
  struct sockaddr_in direct = address (1);
  struct sockaddr_in peers[PEERS];

  for (int i = 0; i < PEERS; i++)
    peers[i] = address ((uint16_t)(100 + i));
  wy_paths_init (p, &direct, first);
  wy_paths_set_relays (p, peers, PEERS);
}

static bool
is_turned_away (const struct sockaddr_in *a)
{
  uint16_t port = ntohs (a->sin_port);

  /* This instance, and a third of its peers.  */
  return port == 1 || port % 3 == 0;
}

/* One call, sent again on other paths while it is refused.  Returns whether it
   got through.  */
static bool
call (struct wy_paths *p, int64_t now_ms, uint32_t *sends)
{
  for (int i = 0; i < TRIES; i++)
    {
      bool relayed;
      struct sockaddr_in a = wy_paths_choose (p, now_ms, &relayed);

      ++*sends;
      if (!is_turned_away (&a))
        return true;
      if (relayed)
        wy_paths_relay_failed (p, &a, now_ms);
      else
        wy_paths_direct_ended (p, now_ms, false);
      if (!wy_paths_has_other (p, now_ms))
        return false;
    }
  return false;
}

/* The store turns a third of all instances away for some seconds, as when a
   part of it is overloaded.  A third of the peers then can't pass calls on
   either.  Chosen in turn, they would fail every third call of an instance,
   its heartbeats among them; the others would take it for gone and run its
   jobs anew.  Every call must get through, with few sent more than once.  */
Test (paths, a_third_of_all_instances_is_turned_away)
{
  struct wy_paths p;
  uint32_t sends = 0;
  uint32_t lost = 0;

  make_paths (&p, 5);
  for (int64_t k = 0; k < (int64_t)CALLS_PER_S * SECONDS; k++)
    lost += !call (&p, 1000 + k * 1000 / CALLS_PER_S, &sends);
  cr_expect_eq (lost, 0);
  cr_expect_lt (sends, CALLS_PER_S * SECONDS * 3 / 2);
}

/* The direct path works again: the first call that shows it ends the detour.
   What was lost before the newest answer changes nothing.  */
Test (paths, the_direct_path_comes_back)
{
  struct wy_paths p;
  bool relayed;

  make_paths (&p, 0);
  cr_expect (wy_paths_direct_ended (&p, 1000, false));
  wy_paths_choose (&p, 1100, &relayed);
  cr_expect (relayed);
  wy_paths_choose (&p, 2000, &relayed);
  cr_expect_not (relayed, "tried once a second");
  wy_paths_choose (&p, 2001, &relayed);
  cr_expect (relayed);
  cr_expect (wy_paths_direct_ended (&p, 2000, true));
  cr_expect_not (wy_paths_direct_ended (&p, 1500, false), "older");
  wy_paths_choose (&p, 2002, &relayed);
  cr_expect_not (relayed);
}

/* Peers come and go while some of them are known to fail: what is known stays,
   or each change of the list would send calls to them again.  */
Test (paths, a_new_list_keeps_what_is_known)
{
  struct wy_paths p;
  struct sockaddr_in peers[2] = { address (100), address (101) };
  bool relayed;

  make_paths (&p, 0);
  wy_paths_direct_ended (&p, 1000, false);
  wy_paths_relay_failed (&p, &peers[0], 1000);
  wy_paths_set_relays (&p, peers, 2);
  for (int i = 0; i < 4; i++)
    {
      struct sockaddr_in a = wy_paths_choose (&p, 1100, &relayed);

      cr_expect_eq (ntohs (a.sin_port), 101);
    }
}
