/* Scoring services that fail.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/fake_table.h"
#include "yard/scorer.h"

struct fixture
{
  uv_loop_t loop;
  struct wy_yard_env env;
  struct wy_http_server *server;
  struct wy_scorer *scorer;
  uint32_t fail_next;
  uint32_t calls;
  uint32_t n_done; /* callbacks */
  int err;
  double score;
};

static void
on_request (struct wy_http_exchange *ex, void *ctx)
{
  struct fixture *w = ctx;

  w->calls++;
  if (w->fail_next > 0)
    {
      w->fail_next--;
      wy_http_respond (ex, 500, "text/plain", "", 0);
      return;
    }
  wy_http_respond (ex, 200, "application/json", "{\"score\":0.5}", 13);
}

static void
on_scored (void *ctx, int err, double score)
{
  struct fixture *w = ctx;

  w->n_done++;
  w->err = err;
  w->score = score;
}

static void
fixture_init (struct fixture *w, bool with_service)
{
  const struct wy_http_server_options o = { .loop = &w->loop,
                                            .host = "127.0.0.1",
                                            .body_limit_bytes = 1 << 16,
                                            .on_request = on_request,
                                            .ctx = w };
  char address[32] = "";

  memset (w, 0, sizeof *w);
  uv_loop_init (&w->loop);
  cr_assert_eq (wy_http_server_new (&w->server, &o), 0);
  if (with_service)
    g_snprintf (address, sizeof address, "127.0.0.1:%u",
                wy_http_server_port (w->server));
  w->env.o.clock = wy_clock_system ();
  w->env.o.http = wy_http_client_new (&w->loop, 5000);
  wy_rng_seed (&w->env.rng, 5);
  w->scorer = wy_scorer_new (&w->env, address);
}

static void
fixture_free (struct fixture *w)
{
  wy_scorer_free (w->scorer);
  wy_http_server_free (w->server);
  drain_loop (&w->loop);
  wy_http_client_free (w->env.o.http);
}

static struct wy_score_job *
start (struct fixture *w)
{
  const struct wy_score_request r = { .sample = "s",
                                      .prompt = "p",
                                      .completion = "c",
                                      .on_done = on_scored,
                                      .ctx = w };

  return wy_scorer_start (w->scorer, &r);
}

static bool
is_done (void *ctx)
{
  struct fixture *w = ctx;

  wy_scorer_run (w->scorer);
  return w->n_done > 0;
}

/* The scoring service fails for a short time.  The sample is scored later and
   not dropped.  */
Test (scorer, failures_are_retried)
{
  struct fixture w;

  fixture_init (&w, true);
  w.fail_next = 3;
  start (&w);
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  cr_assert_float_eq (w.score, 0.5, 1e-9);
  cr_assert_eq (w.calls, 4);
  fixture_free (&w);
}

/* The service fails all the time while many samples wait.  The retry budget
   limits the calls, which would overload the service otherwise.  */
Test (scorer, retries_have_a_budget)
{
  struct fixture w;

  fixture_init (&w, true);
  w.fail_next = UINT32_MAX;
  for (int i = 0; i < 200; i++)
    start (&w);
  for (int i = 0; i < 300; i++)
    {
      wy_scorer_run (w.scorer);
      run_for (&w.loop, 5);
    }
  cr_assert_geq (w.calls, 200);
  cr_assert_leq (w.calls, 200 + 200 + 64, "%u calls", w.calls);
  w.fail_next = 0;
  fixture_free (&w);
}

Test (scorer, cancelled_job_has_no_callback)
{
  struct fixture w;
  struct wy_score_job *j;

  fixture_init (&w, true);
  j = start (&w);
  wy_scorer_run (w.scorer);
  wy_score_job_cancel (j);
  wy_score_job_cancel (start (&w));
  run_for (&w.loop, 50);
  wy_scorer_run (w.scorer);
  cr_assert_eq (w.n_done, 0);
  fixture_free (&w);
}

Test (scorer, yard_without_a_service_scores_zero)
{
  struct fixture w;

  fixture_init (&w, false);
  start (&w);
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  cr_assert_eq (w.calls, 0);
  fixture_free (&w);
}
