/* Time per decision on this machine, and its growth with the number of
   targets.  Prints one line per figure: case, size, policy, figure, value.  */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <uv.h>

#include "base/clock.h"
#include "base/rng.h"
#include "decide/placement.h"
#include "decide/queue.h"
#include "orgs/access.h"
#include "trace/json_log.h"

#define SEED 20261202
/* Below the rate at which log lines are dropped (2000 per second).  */
#define LOG_LINES 1500
#define PICKS 2000000
#define OFFERS 1000000
#define KEYS 20000
#define AZS 7
#define ACCESS_KEYS 10000
#define KEY_SIZE_BYTES 24
#define N(a) (sizeof (a) / sizeof ((a)[0]))

static const uint32_t sizes[] = { 12, 120, 1200, 3200 };

static void
print_figure (const char *figure, uint32_t size, double ns)
{
  printf ("decision\t%u\twaxwing\t%s\t%.4g\n", size, figure, ns);
}

static double
ns_since (int64_t from_us, uint32_t n)
{
  int64_t us = wy_clock_mono_us (wy_clock_system ()) - from_us;

  return (double)us * WY_NS_PER_US / n;
}

static struct wy_placement *
new_placement (uint32_t targets)
{
  struct wy_placement_options o = { .targets_max = targets };
  struct wy_placement *p = wy_placement_new (&o);

  if (!p)
    abort ();
  for (uint32_t i = 0; i < targets; i++)
    {
      struct wy_target_options t = { .id = i + 1, .az = i % AZS };
      struct wy_load_report r = { .callers = i % 5, .streams_max = 64 };

      wy_placement_add (p, &t);
      wy_placement_load_reported (p, i, &r, 0, 0);
    }
  return p;
}

/* Time to pick a target, start a request and end it.  Every second request has
   a known prefix.  */
static double
pick_ns (uint32_t targets)
{
  struct wy_placement *p = new_placement (targets);
  struct wy_placement_request req
      = { .prompt_tokens = 300, .predicted_tokens = 64 };
  struct wy_rng rng;
  int64_t from_us;

  wy_rng_seed (&rng, SEED);
  from_us = wy_clock_mono_us (wy_clock_system ());
  for (uint32_t i = 0; i < PICKS; i++)
    {
      int slot;

      req.prefix_hash = i % 2 ? 1 + i % 1000 : 0;
      slot = wy_placement_pick (p, &req, i / 1000, &rng);
      wy_placement_request_started (p, (uint32_t)slot, &req, i / 1000);
      wy_placement_request_ended (p, (uint32_t)slot, req.work_class,
                                  WY_OUTCOME_OK, i / 1000);
    }
  wy_placement_free (p);
  return ns_since (from_us, PICKS);
}

static double
rendezvous_ns (uint32_t targets)
{
  uint64_t *ids = calloc (targets, sizeof *ids);
  uint64_t sum = 0;
  int64_t from_us;

  if (!ids)
    abort ();
  for (uint32_t i = 0; i < targets; i++)
    ids[i] = i + 1;
  from_us = wy_clock_mono_us (wy_clock_system ());
  for (uint32_t i = 0; i < KEYS; i++)
    sum += (uint64_t)wy_placement_rendezvous (i, ids, targets);
  if (sum == 0)
    abort ();
  free (ids);
  return ns_since (from_us, KEYS);
}

/* Time for a caller to pass the queue while ROLLOUTS rollouts are in it:
   offer, preempt, next, done.  */
static double
queue_ns (uint32_t rollouts)
{
  static struct wy_queue q;
  struct wy_queue_options o = { .kind = WY_QUEUE_ENGINE };
  struct wy_queue_item *r = calloc (rollouts, sizeof *r);
  int64_t from_us;

  if (!r)
    abort ();
  wy_queue_init (&q, &o);
  for (uint32_t i = 0; i < rollouts; i++)
    {
      r[i].work_class = WY_CLASS_ROLLOUT;
      r[i].trainer = i % 12;
      r[i].predicted_tokens = 400;
      wy_queue_offer (&q, &r[i], 0);
    }
  from_us = wy_clock_mono_us (wy_clock_system ());
  for (uint32_t i = 0; i < OFFERS; i++)
    {
      struct wy_queue_item c
          = { .predicted_tokens = 64, .prompt_tokens = 200 };

      c.deadline_ms = i + 4000;
      wy_queue_offer (&q, &c, i);
      while (wy_queue_preempt (&q, i).kind != WY_PREEMPT_NONE)
        ;
      while (wy_queue_next (&q, i))
        ;
      wy_queue_done (&q, &c, 64, i);
    }
  free (r);
  return ns_since (from_us, OFFERS);
}

/* Time to format the log line of a request and to write it to /dev/null.  */
static double
log_line_ns (void)
{
  uv_loop_t loop;
  int saved_stdout = dup (STDOUT_FILENO);
  int null_fd = open ("/dev/null", O_WRONLY);
  int64_t from_us;
  double ns;

  fflush (stdout);
  if (saved_stdout < 0 || null_fd < 0 || dup2 (null_fd, STDOUT_FILENO) < 0)
    abort ();
  uv_loop_init (&loop);
  wy_json_log_open (&loop, "bench", "1");
  from_us = wy_clock_mono_us (wy_clock_system ());
  for (int i = 0; i < LOG_LINES; i++)
    wy_json_log ("request.ended",
                 "id=%s route=%s service=%s config=%lld outcome=answered "
                 "status=%d target=%s sends=%u ms=%lld target_ms=%lld",
                 "9c41d07be2a35f68", "claim-filing", "portal", 12LL, 200,
                 "i-7f3a91c2", 1U, 26LL, 25LL);
  ns = ns_since (from_us, LOG_LINES);
  wy_json_log_close ();
  uv_run (&loop, UV_RUN_NOWAIT);
  uv_loop_close (&loop);
  if (dup2 (saved_stdout, STDOUT_FILENO) < 0)
    abort ();
  close (saved_stdout);
  close (null_fd);
  return ns;
}

/* Time to authorize a request, with each of KEYS keys in turn.  */
static double
access_ns (uint32_t keys)
{
  struct wy_orgs *orgs = wy_orgs_new ();
  struct wy_org *org = wy_orgs_add (orgs, "org");
  char (*key)[KEY_SIZE_BYTES] = calloc (keys, sizeof *key);
  uint32_t n = 0;
  int64_t from_us;
  double ns;

  if (!key)
    abort ();
  for (uint32_t i = 0; i < keys; i++)
    {
      snprintf (key[i], sizeof key[i], "key-%012u", i);
      wy_orgs_add_key (orgs, org, key[i]);
    }
  from_us = wy_clock_mono_us (wy_clock_system ());
  for (uint32_t i = 0; i < OFFERS; i++)
    {
      struct wy_access_query q = { .orgs = orgs,
                                   .credential = WY_CREDENTIAL_KEY,
                                   .key = key[i % keys],
                                   .route = WY_ROUTE_ACCESS_KEY_REQUIRED,
                                   .config_is_current = true };
      const struct wy_org *found;

      n += wy_access_check (&q, &found) == WY_ACCESS_ALLOW;
    }
  ns = ns_since (from_us, OFFERS);
  if (n != OFFERS)
    abort ();
  free (key);
  wy_orgs_free (orgs);
  return ns;
}

int
main (void)
{
  double first = 0;

  for (uint32_t i = 0; i < N (sizes); i++)
    {
      double ns = pick_ns (sizes[i]);

      if (i == 0)
        first = ns;
      print_figure ("pick_ns", sizes[i], ns);
      print_figure ("pick_growth", sizes[i], ns / first);
      print_figure ("home_ns", sizes[i], rendezvous_ns (sizes[i]));
    }
  print_figure ("queue_ns", 64, queue_ns (64));
  print_figure ("queue_ns", 4000, queue_ns (4000));
  print_figure ("access_ns", ACCESS_KEYS, access_ns (ACCESS_KEYS));
  print_figure ("log_line_ns", 1, log_line_ns ());
  return 0;
}
