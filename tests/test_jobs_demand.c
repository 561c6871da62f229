/* Demands of models, measured and published by the entry that runs their
   jobs.  */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/demand.h"
#include "support/job_fixture.h"

/* Submissions this close together count as one.  */
#define NEXT_JOB_MS 520

static void
start (void)
{
  const struct wy_service *s;
  struct wy_route *route;

  job_shares_by_demand = true;
  job_fixture_start (2);
  s = wy_routing_service (job_fixture.env.routing, "svc");
  g_ptr_array_add (s->models, g_strdup ("m"));
  g_ptr_array_add (s->models, g_strdup ("n"));
  ((struct wy_service *)s)->slots = 4;
  route = g_ptr_array_index (job_fixture.env.routing->routes, 0);
  route->result_deadline_ms = 100;
}

static char *
published (void)
{
  return wy_platform_store_value (job_fixture.store, WY_DEMAND_TABLE, "svc",
                                  "m");
}

static bool
is_published (void *ctx)
{
  char *value = published ();
  bool is = value != NULL;

  g_free (value);
  return is;
}

static void
run_jobs (int n)
{
  for (int k = 0; k < n; k++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "j%d", k);
      cr_expect_eq (job_fixture_submit (id, 1), 202);
      job_fixture_check_results (id);
      platform_fixture_run_ms (&job_fixture, NEXT_JOB_MS);
    }
}

static uint32_t replicas_of_m;
static double need_of_m;

static void
on_model (void *ctx, const struct wy_demand_view *v)
{
  if (strcmp (v->model, "m") != 0)
    return;
  replicas_of_m = v->replicas;
  need_of_m = v->need;
}

static bool
sees_need (void *ctx)
{
  wy_demand_each (job_fixture.env.demand, on_model, NULL);
  return need_of_m > 0;
}

/* The need must reach the orderers, and the entry itself.  */
Test (jobs_demand, need_is_published_and_read)
{
  char *value;

  start ();
  run_jobs (4);
  cr_assert (platform_fixture_run_until (&job_fixture, is_published, NULL));
  value = published ();
  cr_expect_eq (strncmp (value, "{\"slots\":", 9), 0, "%s", value);
  cr_expect_not_null (strstr (value, "\"at_ms\":"), "%s", value);
  cr_expect_gt (atof (value + 9), 0);
  g_free (value);
  cr_assert (platform_fixture_run_until (&job_fixture, sees_need, NULL));
  cr_expect_eq (replicas_of_m, 1);
  job_fixture_stop ();
}

static bool
has_range (void *ctx)
{
  return wy_demand_range (job_fixture.env.demand, "svc", "m") != NULL;
}

/* The jobs of "n", which run elsewhere, need all slots.  Guards against items
   of "m" on other replicas than those that orderers choose for it by the
   order of addresses.  */
Test (jobs_demand, range_of_the_entry_is_that_of_the_orderers)
{
  uint16_t ports[2];

  start ();
  wy_platform_store_put (
      job_fixture.store, WY_DEMAND_TABLE, "svc", "n",
      "{\"slots\":8,\"priority\":0,\"at_ms\":4000000000000}");
  cr_expect_null (wy_demand_range (job_fixture.env.demand, "svc", "m"));
  run_jobs (1);
  cr_assert (platform_fixture_run_until (&job_fixture, has_range, NULL));
  for (int i = 0; i < 2; i++)
    ports[i] = wy_platform_replica_port (job_fixture.replicas[i]);
  cr_expect_eq (wy_demand_range (job_fixture.env.demand, "svc", "m")->last
                    & UINT16_MAX,
                MIN (ports[0], ports[1]));
  cr_expect_eq (wy_demand_range (job_fixture.env.demand, "svc", "n")->first
                    & UINT16_MAX,
                MAX (ports[0], ports[1]));
  cr_expect_null (wy_demand_range (job_fixture.env.demand, "svc", NULL));
  job_fixture_stop ();
}

static void
set_row (struct wy_demand_rows *rows, const char *model, const char *value)
{
  struct wy_row row = { .key = model,
                        .value = value,
                        .size_bytes = value ? strlen (value) : 0,
                        .deleted = !value };

  wy_demand_rows_set (rows, &row);
}

/* The entry that ran the jobs of "m" failed and nobody runs them any more. Its
   row must not keep replicas from "n" for ever, and a row that can't be parsed
   must not keep those of all models.  */
Test (jobs_demand, old_and_unreadable_rows)
{
  struct wy_routing *routing = wy_routing_new ();
  struct wy_service *s = wy_routing_add_service (routing);
  struct wy_demand_rows rows = { 0 };
  struct wy_model_shares shares;

  s->slots = 4;
  g_ptr_array_add (s->models, g_strdup ("n"));
  g_ptr_array_add (s->models, g_strdup ("m"));
  set_row (&rows, "m",
           "{\"slots\":30,\"priority\":2,\"lag\":1,\"at_ms\":5000}");
  set_row (&rows, "n", "{\"slots\":\"many\"}");
  wy_model_shares_compute (&rows, s, 10, 35000, &shares);
  cr_expect (shares.by_need);
  cr_expect_eq (shares.counts[0], 2);
  cr_expect_eq (shares.counts[1], 8);
  cr_expect_eq (shares.demand[1].priority, 2);
  cr_expect_eq (shares.age_ms, 30000);
  wy_model_shares_compute (&rows, s, 10, 35001, &shares);
  cr_expect_not (shares.by_need);
  cr_expect_eq (shares.counts[1], 5);
  set_row (&rows, "m", NULL);
  wy_model_shares_compute (&rows, s, 10, 5000, &shares);
  cr_expect_not (shares.by_need);
  cr_expect_eq (shares.age_ms, -1);
  wy_routing_free (routing);
}

/* A service with one model has nothing to divide: no row may be written.  */
Test (jobs_demand, one_model_publishes_nothing)
{
  const struct wy_service *s;

  start ();
  s = wy_routing_service (job_fixture.env.routing, "svc");
  g_ptr_array_set_size (s->models, 1);
  run_jobs (3);
  cr_expect_eq (
      wy_platform_store_row_count (job_fixture.store, WY_DEMAND_TABLE, "svc"),
      0);
  job_fixture_stop ();
}
