/* Replicas die in bursts while they run the items of a job, which are not the
   cause.  */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "support/crash_fixture.h"
#include "support/job_fixture.h"

enum
{
  BURSTS = 10,
  BURST_MS = 700,
  DOWN_MS = 200,
  /* Longer than the replicas are up between two bursts.  */
  EVENT_MS = 600,
  EVENTS = 2,
  /* From the moment when replicas are back until each item is placed.  */
  PLACED_MS = 1500
};

static struct crash_fixture x;
static bool is_calm;
static bool is_placed[JOB_ITEMS];

static void
on_item (const char *id)
{
  if (is_calm)
    is_placed[atoi (id + strlen ("it-"))] = true;
}

static uint32_t
placed (void)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < JOB_ITEMS; i++)
    n += is_placed[i];
  return n;
}

static void
submit (uint32_t gate)
{
  char *body = job_fixture_body (1);
  struct wy_h1_header fields[]
      = { { "Host", "h" }, { "Attempt-Id", "job-1" } };
  struct platform_response *a
      = platform_fixture_call (&x.w, x.gates[gate].callers, "POST", "/p/job",
                               fields, G_N_ELEMENTS (fields), body);

  cr_assert (platform_fixture_run_until (&x.w, platform_response_done, a));
  cr_assert_eq (a->status, 202, "%d", a->status);
  platform_response_free (a);
  g_free (body);
}

/* Several replicas die under each item, then all is calm.  Guards against an
   item that counts as the cause and is placed again only much later.  */
Test (item_crashes, placed_again_when_replicas_are_back)
{
  crash_fixture_start (&x,
                       &(struct crash_options){ .gates = 1,
                                                .replicas = CRASH_REPLICAS_MAX,
                                                .down_ms = DOWN_MS,
                                                .keeps_id = true,
                                                .model = "m",
                                                .event_ms = EVENT_MS,
                                                .events = EVENTS,
                                                .on_item = on_item });
  submit (0);
  for (uint32_t i = 0; i < BURSTS; i++)
    {
      platform_fixture_run_ms (&x.w, BURST_MS);
      for (uint32_t k = 0; k < CRASH_REPLICAS_MAX; k++)
        wy_platform_replica_crash (x.replicas[k].replica);
    }
  platform_fixture_run_ms (&x.w, DOWN_MS);
  is_calm = true;
  platform_fixture_run_ms (&x.w, PLACED_MS);
  cr_expect_eq (placed (), JOB_ITEMS, "%u of %d", placed (), JOB_ITEMS);
  crash_fixture_stop (&x);
}
