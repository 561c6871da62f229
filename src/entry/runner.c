/* Runs the samples of yards, as requests of the rollout class on the same path
   as those of callers.  */
#include <string.h>

#include "entry/completion_text.h"
#include "entry/dispatch.h"
#include "entry/pool.h"
#include "entry/problem.h"
#include "entry/request.h"
#include "entry/runner.h"

enum
{
  /* KV tokens assumed per sample when the free capacity is estimated; the
     agent's admission counts exactly.  */
  SAMPLE_TOKENS = 512,
  TOKEN_BYTES = 4,
  NO_DEADLINE_MS = 24 * 3600 * WY_MS_PER_S
};

struct sample
{
  struct wy_sink sink;        /* must stay first */
  struct wy_request *request; /* until it is started */
  char *id;
  void (*on_done) (void *ctx, const char *id, const struct wy_run_outcome *o);
  void *ctx;
};

static void
end_sample (struct sample *s, const struct wy_run_outcome *o)
{
  s->on_done (s->ctx, s->id, o);
  g_free (s->id);
  g_free (s);
}

static void
sample_done (struct wy_sink *sink, struct wy_request *r)
{
  struct sample *s = (struct sample *)sink;
  struct wy_run_outcome o = { .result = WY_RUN_DONE,
                              .ran = WY_RAN_YES,
                              .run_id = r->run,
                              .tokens = r->tokens,
                              .segments = r->segments,
                              .n_segments = r->n_segments };
  GString *text = g_string_new (NULL);

  /* A completion whose events are inconsistent is rejected as a sample, since
     it can't be proven which run made it.  */
  if (r->status != 200 || wy_completion_text (r->response, text))
    o.result = WY_RUN_FAILED;
  o.text = text->str;
  end_sample (s, &o);
  g_string_free (text, TRUE);
}

static void
sample_rejected (struct wy_sink *sink, struct wy_request *r, enum wy_ran ran,
                 enum wy_entry_reason reason, uint32_t retry_after_ms)
{
  struct wy_run_outcome o = { .result = WY_RUN_FAILED,
                              .ran = ran,
                              .refusal = WY_REFUSED_BUSY,
                              .retry_after_ms = retry_after_ms,
                              .run_id = r->run ? r->run : "",
                              .text = "" };

  if (reason == WY_REASON_SUSPECT)
    o.refusal = WY_REFUSED_SUSPECT;
  else if (reason == WY_REASON_CRASHED)
    {
      o.result = WY_RUN_CRASHED;
      o.refusal = 0;
    }
  else if (reason == WY_REASON_CANCELLED)
    {
      o.result = WY_RUN_CANCELLED;
      o.refusal = 0;
    }
  else if (reason == WY_REASON_VERSION)
    o.refusal = WY_REFUSED_VERSION;
  else if (ran != WY_RAN_NO)
    o.refusal = 0;
  end_sample ((struct sample *)sink, &o);
}

static struct wy_request *
make_request (struct wy_entry *e, const struct wy_run_request *q)
{
  struct wy_pool *l = wy_pool_get_or_create (e, q->model, true);
  struct wy_request *r = wy_request_new (e, q->model, l);
  struct wy_completion_params c = { .model = q->model,
                                    .prompt = q->prompt,
                                    .max_tokens = q->max_tokens,
                                    .min_version = q->min_version };

  g_free (r->id);
  r->id = g_strdup (q->id);
  r->request_class = WY_REQUEST_ROLLOUT;
  r->deadline_mono_ms = wy_clock_mono_ms (e->clock)
                        + (q->deadline_ms ? q->deadline_ms : NO_DEADLINE_MS);
  r->trainer = g_strdup (q->trainer);
  r->worth_milli = q->worth_milli;
  r->max_tokens = q->max_tokens;
  r->predicted_tokens = q->predicted_tokens;
  r->min_version = q->min_version;
  r->prompt_tokens
      = (uint32_t)((strlen (q->prompt) + TOKEN_BYTES - 1) / TOKEN_BYTES);
  r->prefix = wy_completion_prefix (q->prompt);
  r->fingerprint = wy_fingerprint (NULL, q->prompt, strlen (q->prompt));
  r->method = g_strdup ("POST");
  r->path = g_strdup ("/v1/completions");
  wy_completion_body (&c, r->id, r->body);
  return r;
}

/* Open the requests queued since the last loop iteration.  */
void
wy_runner_open_pending (struct wy_entry *e)
{
  struct sample *s;

  while ((s = g_queue_pop_head (&e->pending_starts)))
    {
      struct wy_request *r = s->request;

      s->request = NULL;
      wy_request_open (r, &s->sink);
    }
}

static void
on_start_timer (uv_timer_t *t)
{
  wy_runner_open_pending (t->data);
}

static void
start (void *ctx, const struct wy_run_request *q,
       void (*on_done) (void *done_ctx, const char *id,
                        const struct wy_run_outcome *o),
       void *done_ctx)
{
  struct wy_entry *e = ctx;
  struct sample *s = g_malloc0 (sizeof *s);

  s->sink.done = sample_done;
  s->sink.rejected = sample_rejected;
  s->id = g_strdup (q->id);
  s->on_done = on_done;
  s->ctx = done_ctx;
  s->request = make_request (e, q);
  /* Opened in the next loop iteration: opening may reject at once, which would
     call ON_DONE before this returns.  */
  g_queue_push_tail (&e->pending_starts, s);
  uv_timer_start (&e->start_timer, on_start_timer, 0, 0);
}

static void
cancel (void *ctx, const char *id)
{
  struct wy_entry *e = ctx;
  struct wy_request *r = g_hash_table_lookup (e->requests, id);

  for (GList *l = e->pending_starts.head; l && !r; l = l->next)
    {
      struct sample *s = l->data;
      if (!strcmp (s->id, id))
        r = s->request;
    }
  if (!r)
    return;
  wy_dispatch_cancel (r);
  /* The next sweep ends it.  */
  r->cancelled = true;
}

static uint32_t
free_slots (const struct wy_peer *p)
{
  const struct wy_target_load *t = &p->load;
  int64_t n = (t->kv_total_tokens - t->kv_used_tokens) / SAMPLE_TOKENS;
  uint32_t own
      = wy_placement_in_flight (p->pool->placement, (uint32_t)p->slot);
  uint32_t ahead = own - MIN (own, t->running);

  if (t->queued_rollout > 0 || !t->target_up)
    return 0;
  n = MIN (n, (int64_t)t->streams_max - t->running);
  return n > (int64_t)ahead ? (uint32_t)n - ahead : 0;
}

static uint32_t
capacity (void *ctx, const char *model)
{
  struct wy_entry *e = ctx;
  const struct wy_pool *l = wy_pool_get (e, model);
  uint32_t n = 0;

  for (guint i = 0; l && i < l->peers->len; i++)
    {
      const struct wy_peer *p = l->peers->pdata[i];
      if (p && p->ready && p->has_load && !p->leaving)
        n += free_slots (p);
    }
  return n;
}

static void
versions (void *ctx, const char *model, int64_t *lowest, int64_t *highest)
{
  struct wy_entry *e = ctx;
  const struct wy_pool *l = wy_pool_get (e, model);

  *lowest = 0;
  *highest = 0;
  for (guint i = 0; l && i < l->peers->len; i++)
    {
      const struct wy_peer *p = l->peers->pdata[i];

      if (!p || !p->has_load || !p->load.target_up || p->leaving)
        continue;
      if (*highest == 0 || p->load.version < *lowest)
        *lowest = p->load.version;
      *highest = MAX (*highest, p->load.version);
    }
}

/* The interface through which a yard runs samples at the targets of E.  */
struct wy_runner
wy_entry_runner (struct wy_entry *e)
{
  return (struct wy_runner){ .start = start,
                             .cancel = cancel,
                             .capacity = capacity,
                             .versions = versions,
                             .ctx = e };
}
