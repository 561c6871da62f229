/* Choice of the path of calls while the store rejects some instances.  */
#include <criterion/criterion.h>
#include <string.h>

#include "base/rng.h"
#include "rows/paths.h"

enum
{
  PEERS = 32,
  CALLS_PER_S = 20,
  SECONDS = 9,
  ATTEMPTS_MAX = 4
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
is_rejected (const struct sockaddr_in *a)
{
  uint16_t port = ntohs (a->sin_port);

  /* The direct path, and a third of the peers.  */
  return port == 1 || port % 3 == 0;
}

/* One call, retried on other paths while it is rejected.  Returns whether it
   succeeded.  */
static bool
call (struct wy_paths *p, int64_t now_ms, uint32_t *sends)
{
  for (int i = 0; i < ATTEMPTS_MAX; i++)
    {
      bool relayed;
      struct sockaddr_in a = wy_paths_choose (p, now_ms, &relayed);

      ++*sends;
      if (!is_rejected (&a))
        return true;
      if (relayed)
        wy_paths_record_relay_failure (p, &a, now_ms);
      else
        wy_paths_record_direct (p, now_ms, false);
      if (!wy_paths_has_alternative (p, now_ms))
        return false;
    }
  return false;
}

/* The store rejects a third of all instances for some seconds, as when part of
   it is overloaded.  Then a third of the peers cannot forward calls.  Plain
   round robin would fail every third call, heartbeats included, and the peers
   would take over the jobs of healthy instances.  Every call must succeed, and
   few may be sent more than once.  */
Test (paths, third_of_instances_rejected)
{
  struct wy_paths p;
  uint32_t sends = 0;
  uint32_t failed = 0;

  make_paths (&p, 5);
  for (int64_t k = 0; k < (int64_t)CALLS_PER_S * SECONDS; k++)
    failed += !call (&p, 1000 + k * 1000 / CALLS_PER_S, &sends);
  cr_expect_eq (failed, 0);
  cr_expect_lt (sends, CALLS_PER_S * SECONDS * 3 / 2);
}

/* The direct path recovers: the first successful call must switch back to it.
   The failure of a call sent before that one must change nothing.  */
Test (paths, direct_path_recovers)
{
  struct wy_paths p;
  bool relayed;

  make_paths (&p, 0);
  cr_expect (wy_paths_record_direct (&p, 1000, false));
  wy_paths_choose (&p, 1100, &relayed);
  cr_expect (relayed);
  wy_paths_choose (&p, 2000, &relayed);
  cr_expect_not (relayed, "tried once a second");
  wy_paths_choose (&p, 2001, &relayed);
  cr_expect (relayed);
  cr_expect (wy_paths_record_direct (&p, 2000, true));
  cr_expect_not (wy_paths_record_direct (&p, 1500, false), "older");
  wy_paths_choose (&p, 2002, &relayed);
  cr_expect_not (relayed);
}

/* The list of peers changes while some of them fail.  Their state must be
   kept, or each change would send calls to them again.  */
Test (paths, new_list_keeps_state)
{
  struct wy_paths p;
  struct sockaddr_in peers[2] = { address (100), address (101) };
  bool relayed;

  make_paths (&p, 0);
  wy_paths_record_direct (&p, 1000, false);
  wy_paths_record_relay_failure (&p, &peers[0], 1000);
  wy_paths_set_relays (&p, peers, 2);
  for (int i = 0; i < 4; i++)
    {
      struct sockaddr_in a = wy_paths_choose (&p, 1100, &relayed);

      cr_expect_eq (ntohs (a.sin_port), 101);
    }
}
