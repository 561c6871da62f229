/* A runner of samples that reports outcomes a few milliseconds after the
   start, or when the test allows it.  */
#include "fake_runner.h"

#include <string.h>

enum
{
  OUTCOME_EVERY_MS = 5,
  TOKENS = 10
};

struct fake_run
{
  char *id;
  bool cancelled;
  void (*on_done) (void *done_ctx, const char *id,
                   const struct wy_run_outcome *o);
  void *done_ctx;
};

static void
start (void *ctx, const struct wy_run_request *q,
       void (*on_done) (void *done_ctx, const char *id,
                        const struct wy_run_outcome *o),
       void *done_ctx)
{
  struct fake_runner *r = ctx;
  struct fake_run *run = g_new0 (struct fake_run, 1);

  run->id = g_strdup (q->id);
  run->on_done = on_done;
  run->done_ctx = done_ctx;
  r->started++;
  r->min_version = q->min_version;
  g_ptr_array_add (r->open, run);
}

static void
cancel (void *ctx, const char *id)
{
  struct fake_runner *r = ctx;

  for (guint i = 0; i < r->open->len; i++)
    {
      struct fake_run *run = r->open->pdata[i];

      if (run->cancelled || strcmp (run->id, id) != 0)
        continue;
      run->cancelled = true;
      r->cancelled++;
    }
}

static uint32_t
capacity (void *ctx, const char *model)
{
  struct fake_runner *r = ctx;

  return r->open->len < r->capacity ? r->capacity - r->open->len : 0;
}

static void
versions (void *ctx, const char *model, int64_t *lowest, int64_t *highest)
{
  *lowest = *highest = ((struct fake_runner *)ctx)->version;
}

static bool
consume (uint32_t *n)
{
  if (*n == 0)
    return false;
  --*n;
  return true;
}

static void
report_outcome (struct fake_runner *r, struct fake_run *run)
{
  struct wy_segment segments[2] = { { r->version, 0, TOKENS }, { 0, 0, 0 } };
  struct wy_run_outcome o = { .result = WY_RUN_DONE,
                              .ran = WY_RAN_YES,
                              .run_id = run->id,
                              .text = "text",
                              .tokens = TOKENS,
                              .segments = segments,
                              .n_segments = 1 };

  if (run->cancelled)
    o.result = WY_RUN_CANCELLED;
  else if (consume (&r->refuse_next))
    {
      o.result = WY_RUN_FAILED;
      o.ran = WY_RAN_NO;
      o.refusal = WY_REFUSED_BUSY;
      o.retry_after_ms = OUTCOME_EVERY_MS;
    }
  else if (consume (&r->crash_next))
    o.result = WY_RUN_CRASHED;
  else if (consume (&r->gap_next))
    segments[0].from = 1;
  else if (consume (&r->mixed_versions_next))
    {
      segments[0].version = r->version - 1;
      segments[0].to = TOKENS / 2;
      segments[1].version = r->version;
      segments[1].from = TOKENS / 2;
      segments[1].to = TOKENS;
      o.n_segments = 2;
    }
  run->on_done (run->done_ctx, run->id, &o);
  g_free (run->id);
  g_free (run);
}

static void
report_outcomes (struct fake_runner *r)
{
  GPtrArray *open = r->open;

  r->open = g_ptr_array_new ();
  for (guint i = 0; i < open->len; i++)
    {
      struct fake_run *run = open->pdata[i];

      if (r->hold_outcomes && !run->cancelled)
        g_ptr_array_add (r->open, run);
      else
        report_outcome (r, run);
    }
  g_ptr_array_free (open, TRUE);
}

static void
on_timer (uv_timer_t *t)
{
  report_outcomes (t->data);
}

void
fake_runner_init (struct fake_runner *r, uv_loop_t *loop, int64_t version)
{
  memset (r, 0, sizeof *r);
  r->runner.start = start;
  r->runner.cancel = cancel;
  r->runner.capacity = capacity;
  r->runner.versions = versions;
  r->runner.ctx = r;
  r->open = g_ptr_array_new ();
  r->version = version;
  r->capacity = 8;
  uv_timer_init (loop, &r->timer);
  r->timer.data = r;
  uv_timer_start (&r->timer, on_timer, OUTCOME_EVERY_MS, OUTCOME_EVERY_MS);
}

/* Report the outcomes of all open samples and stop.  */
void
fake_runner_close (struct fake_runner *r)
{
  r->hold_outcomes = false;
  report_outcomes (r);
  g_ptr_array_free (r->open, TRUE);
  uv_close ((uv_handle_t *)&r->timer, NULL);
}
