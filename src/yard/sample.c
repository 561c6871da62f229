/* One sample: run by an engine, proven, scored.

   A sample is worth nothing without the versions that made it.  Its segments
   must cover all its tokens without a gap, each with a version; an engine
   that crashed or lost count gives something less, and such a sample is
   dropped and another issued in its place.  */
#include "yard/sample.h"

#include <string.h>

#define REFUSED_WAIT_MS 200

/* Segments of O as JSON when they prove where all its tokens come from, and
   the OLDEST version among them; else NULL.  */
json_t *
wy_sample_segments (const struct wy_run_outcome *o, int64_t *oldest)
{
  json_t *list;
  uint32_t next = 0;

  if (o->tokens == 0 || o->n_segments == 0)
    return NULL;
  list = json_array ();
  *oldest = o->segments[0].version;
  for (size_t i = 0; i < o->n_segments; i++)
    {
      const struct wy_segment *g = &o->segments[i];

      if (g->version < 1 || g->from != next || g->to <= g->from)
        break;
      next = g->to;
      if (g->version < *oldest)
        *oldest = g->version;
      json_array_append_new (list, json_pack ("{s:I, s:I, s:I}", "version",
                                              (json_int_t)g->version, "from",
                                              (json_int_t)g->from, "to",
                                              (json_int_t)g->to));
    }
  if (json_array_size (list) == o->n_segments && next == o->tokens)
    return list;
  json_decref (list);
  return NULL;
}

/* The group that M is of, as it was submitted.  */
const json_t *
wy_sample_group (const struct wy_sample *m)
{
  return json_array_get (m->owner->groups,
                         wy_step_group_of (m->owner->step, m->index));
}

/* Free M, which is neither at an engine nor at the scorer.  */
void
wy_sample_free (struct wy_sample *m)
{
  g_free (m->run);
  g_free (m->text);
  json_decref (m->segments);
  g_free (m);
}

static void
leave_open (struct wy_sample *m, enum wy_sample_phase phase)
{
  m->phase = phase;
  m->owner->open--;
}

/* M ends without being taken.  The decisions of the step know already.  */
void
wy_sample_drop (struct wy_sample *m, const char *reason)
{
  struct wy_yard_env *env = m->owner->o.env;

  wy_trace_event (env->o.trace, "sample.dropped", "{s:s, s:s}", "sample",
                  m->id, "reason", reason);
  if (env->n.dropped)
    ++*env->n.dropped;
  if (m->phase == WY_SAMPLE_TAKEN)
    m->phase = WY_SAMPLE_GONE;
  else
    leave_open (m, WY_SAMPLE_GONE);
  /* Last, for the outcome may come at once.  */
  if (m->awaited)
    env->o.runner->cancel (env->o.runner->ctx, m->req);
  if (m->scoring)
    wy_score_job_cancel (m->scoring);
  m->scoring = NULL;
}

static void
fail (struct wy_sample *m, const char *reason)
{
  wy_step_failed (m->owner->step, m->index);
  wy_sample_drop (m, reason);
}

static void
on_scored (void *ctx, int err, double score)
{
  struct wy_sample *m = ctx;
  struct wy_sampling *s = m->owner;

  m->scoring = NULL;
  m->score = score;
  if (err)
    fail (m, "unscored");
  else
    switch (wy_step_done (s->step, m->index, (uint64_t)m->oldest, m->tokens))
      {
      case WY_STEP_VERDICT_ACCEPT:
        leave_open (m, WY_SAMPLE_TAKEN);
        break;
      case WY_STEP_VERDICT_STALE:
        wy_sample_drop (m, "stale");
        break;
      case WY_STEP_VERDICT_SURPLUS:
        wy_sample_drop (m, "surplus");
        break;
      }
  s->o.on_progress (s->o.ctx);
}

static void
learn (struct wy_sample *m)
{
  const double weight = 0.1;
  struct wy_sampling_pace *p = m->owner->o.pace;
  int64_t took_ms
      = wy_clock_mono_ms (m->owner->o.env->o.clock) - m->started_ms;
  double max_tokens = (double)json_integer_value (
      json_object_get (wy_sample_group (m), "max_tokens"));

  p->us_per_token
      += weight
         * ((double)took_ms * WY_US_PER_MS / m->tokens - p->us_per_token);
  if (max_tokens > 0)
    p->token_share += weight * (m->tokens / max_tokens - p->token_share);
}

static void
score (struct wy_sample *m)
{
  const json_t *group = wy_sample_group (m);
  const struct wy_score_request r
      = { .sample = m->id,
          .prompt = json_string_value (json_object_get (group, "prompt")),
          .completion = m->text,
          .on_done = on_scored,
          .ctx = m };

  m->phase = WY_SAMPLE_AT_SCORER;
  m->scoring = wy_scorer_start (m->owner->o.scorer, &r);
}

static void
take_completion (struct wy_sample *m, const struct wy_run_outcome *o)
{
  struct wy_yard_env *env = m->owner->o.env;

  m->tokens = o->tokens;
  m->segments = wy_sample_segments (o, &m->oldest);
  if (!m->segments)
    {
      if (env->n.unproven)
        ++*env->n.unproven;
      fail (m, "unproven");
      return;
    }
  m->run = g_strdup (o->run_id);
  m->text = g_strdup (o->text ? o->text : "");
  wy_trace_event (env->o.trace, "sample.finished", "{s:s, s:s, s:s, s:O}",
                  "sample", m->id, "req", m->req, "run", m->run ? m->run : "",
                  "segments", m->segments);
  if (env->n.finished)
    ++*env->n.finished;
  learn (m);
  score (m);
}

/* A sample that was refused is started again with its place kept; only one
   that ran and came to nothing uses up one of its group's spares.  */
static void
on_outcome (void *ctx, const char *id, const struct wy_run_outcome *o)
{
  struct wy_sample *m = ctx;
  struct wy_sampling *s = m->owner;

  m->awaited = false;
  if (!s)
    {
      wy_sample_free (m);
      return;
    }
  /* One given up while it ran was dropped then.  */
  if (m->phase != WY_SAMPLE_AT_ENGINE)
    return;
  if (o->result == WY_RUN_DONE)
    take_completion (m, o);
  else if (o->ran == WY_RAN_NO)
    {
      uint32_t wait = o->retry_after_ms ? o->retry_after_ms : REFUSED_WAIT_MS;

      m->phase = WY_SAMPLE_WAITING;
      m->due_ms = wy_clock_mono_ms (s->o.env->o.clock) + wait / 2
                  + wy_rng_below (&s->o.env->rng, wait);
    }
  else
    fail (m, o->result == WY_RUN_CRASHED ? "crashed" : "failed");
  s->o.on_progress (s->o.ctx);
}

/* The version below which a sample must not start.  While a rollout is under
   way some engines have the trainer's version and some the one before; a yard
   that weighs staleness waits for the former, one that weighs idle time takes
   any that the bound allows.  */
static int64_t
oldest_wanted (const struct wy_sampling *s)
{
  int64_t version = s->version;

  if (s->o.weights.idle >= s->o.weights.staleness)
    version -= s->o.bound;
  return version > 0 ? version : 0;
}

/* Have M run by an engine.  Each start has a request id of its own.  */
void
wy_sample_start (struct wy_sample *m)
{
  const struct wy_sampling *s = m->owner;
  const struct wy_runner *runner = s->o.env->o.runner;
  const json_t *group = wy_sample_group (m);
  uint32_t max_tokens
      = (uint32_t)json_integer_value (json_object_get (group, "max_tokens"));
  struct wy_run_request r
      = { .id = m->req,
          .model = s->model,
          .trainer = s->trainer,
          .worth_milli = s->o.worth_milli,
          .prompt = json_string_value (json_object_get (group, "prompt")),
          .max_tokens = max_tokens,
          .predicted_tokens
          = (uint32_t)(max_tokens * s->o.pace->token_share) + 1,
          .min_version = oldest_wanted (s) };

  wy_id_new (s->o.env->o.clock, m->req);
  m->phase = WY_SAMPLE_AT_ENGINE;
  m->awaited = true;
  m->started_ms = wy_clock_mono_ms (s->o.env->o.clock);
  runner->start (runner->ctx, &r, on_outcome, m);
}
