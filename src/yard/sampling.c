/* The samples of one step: asks the decisions what to issue and what to give
   up, and carries that out.  */
#include "yard/sampling.h"

#include <string.h>

#include "yard/sample.h"

static void
predict (struct wy_sampling *s)
{
  for (size_t i = 0; i < json_array_size (s->groups); i++)
    {
      const json_t *g = json_array_get (s->groups, i);
      json_int_t max_tokens
          = json_integer_value (json_object_get (g, "max_tokens"));

      wy_step_predict (s->step, (uint32_t)i,
                       (uint32_t)((double)max_tokens * s->o.pace->token_share)
                           + 1);
    }
}

/* Begin a step as O says; NULL when its groups make no sense.  */
struct wy_sampling *
wy_sampling_new (const struct wy_sampling_options *o)
{
  struct wy_sampling *s;
  struct wy_step *step;
  const json_t *first = json_array_get (o->groups, 0);
  const struct wy_step_options so
      = { .step = (uint64_t)o->step,
          .version = (uint64_t)o->version,
          .groups = (uint32_t)json_array_size (o->groups),
          .group_samples
          = (uint32_t)json_integer_value (json_object_get (first, "samples")),
          .staleness_max = o->bound,
          .weights = o->weights };

  step = wy_step_new (&so);
  if (!step)
    return NULL;
  s = g_malloc0 (sizeof *s);
  s->o = *o;
  s->model = g_strdup (o->model);
  s->trainer = g_strdup (o->trainer);
  s->groups = json_incref ((json_t *)o->groups);
  s->step = step;
  s->version = o->version;
  s->samples = g_ptr_array_new ();
  predict (s);
  return s;
}

/* Give up all samples of S that are not in a batch, for REASON, and free S.
   BATCHED: those taken are in one, or may be.  */
void
wy_sampling_free (struct wy_sampling *s, const char *reason, bool batched)
{
  if (!s)
    return;
  for (guint i = 0; i < s->samples->len; i++)
    {
      struct wy_sample *m = s->samples->pdata[i];

      if (m->phase != WY_SAMPLE_GONE
          && (m->phase != WY_SAMPLE_TAKEN || !batched))
        wy_sample_drop (m, reason);
      m->owner = NULL;
      if (!m->awaited)
        wy_sample_free (m);
    }
  g_ptr_array_free (s->samples, TRUE);
  wy_step_free (s->step);
  json_decref (s->groups);
  g_free (s->model);
  g_free (s->trainer);
  g_free (s);
}

static struct wy_sample *
sample_at (const struct wy_sampling *s, uint32_t index)
{
  for (guint i = s->samples->len; i > 0; i--)
    {
      struct wy_sample *m = s->samples->pdata[i - 1];
      if (m->index == index)
        return m;
    }
  return NULL;
}

static uint32_t
take_batch (const struct wy_sampling *s, uint32_t **out)
{
  uint32_t n = wy_step_accepted (s->step);

  *out = g_new (uint32_t, n + 1);
  return wy_step_batch (s->step, *out, n);
}

static bool
among (const uint32_t *list, uint32_t n, uint32_t index)
{
  for (uint32_t i = 0; i < n; i++)
    if (list[i] == index)
      return true;
  return false;
}

/* The trainer will take the batch at VERSION: samples that are too old for
   it are dropped and issued anew.  */
void
wy_sampling_version (struct wy_sampling *s, int64_t version)
{
  uint32_t *batch;
  uint32_t n;

  if (version == s->version)
    return;
  s->version = version;
  if (wy_step_drop_stale (s->step, (uint64_t)version) == 0)
    return;
  n = take_batch (s, &batch);
  for (guint i = 0; i < s->samples->len; i++)
    {
      struct wy_sample *m = s->samples->pdata[i];
      if (m->phase == WY_SAMPLE_TAKEN && !among (batch, n, m->index))
        wy_sample_drop (m, "stale");
    }
  g_free (batch);
}

static void
give_up_stragglers (struct wy_sampling *s, const struct wy_step_inputs *now)
{
  for (;;)
    {
      struct wy_straggler r = wy_step_straggler (s->step, now);
      struct wy_sample *m;

      if (r.action == WY_STRAGGLER_NONE)
        return;
      if (r.action == WY_STRAGGLER_MOVE)
        {
          /* Agents move streams among themselves.  */
          wy_step_moved (s->step, r.sample);
          continue;
        }
      m = sample_at (s, r.sample);
      if (m)
        wy_sample_drop (m,
                        r.action == WY_STRAGGLER_DROP ? "stale" : "surplus");
    }
}

static uint32_t
restart_refused (struct wy_sampling *s, const struct wy_step_inputs *now)
{
  uint32_t n = now->free_streams;

  for (guint i = 0; i < s->samples->len && n > 0; i++)
    {
      struct wy_sample *m = s->samples->pdata[i];

      if (m->phase != WY_SAMPLE_WAITING || m->due_ms > now->now_ms)
        continue;
      wy_sample_start (m);
      n--;
    }
  return n;
}

static void
issue (struct wy_sampling *s, uint32_t index)
{
  struct wy_sample *m = g_malloc0 (sizeof *m);

  m->owner = s;
  m->index = index;
  wy_id_new (s->o.env->o.clock, m->id);
  g_ptr_array_add (s->samples, m);
  s->open++;
  wy_sample_start (m);
}

/* How far running samples should be by now.  Nobody tells the yard how far
   they are; one that takes much longer than others counts as overdue, and the
   decisions give it a replacement.  */
static void
tell_progress (struct wy_sampling *s, const struct wy_step_inputs *now)
{
  for (guint i = 0; i < s->samples->len; i++)
    {
      const struct wy_sample *m = s->samples->pdata[i];
      double us = (double)(now->now_ms - m->started_ms) * WY_US_PER_MS;

      if (m->phase == WY_SAMPLE_AT_ENGINE)
        wy_step_progress (s->step, m->index,
                          (uint32_t)(us / s->o.pace->us_per_token),
                          now->us_per_token);
    }
}

/* Issue what should be issued while streams are free; what is left of them is
   SPARE when no other step wants it.  */
static void
issue_all (struct wy_sampling *s, struct wy_step_inputs *now, bool spare)
{
  s->idle = false;
  while (now->free_streams > 0)
    {
      struct wy_step_issuance r = wy_step_issue (s->step, now);

      if (r.is_issued)
        {
          issue (s, r.sample);
          now->free_streams--;
        }
      else if (spare && !now->may_over_issue)
        now->may_over_issue = true;
      else
        {
          s->idle = true;
          return;
        }
    }
}

/* Give up what should be given up and start what should be started.  LAST:
   no other step waits for free streams.  */
void
wy_sampling_run (struct wy_sampling *s, const struct wy_yard_version *version,
                 bool last)
{
  const struct wy_runner *runner = s->o.env->o.runner;
  struct wy_step_inputs now
      = { .now_ms = wy_clock_mono_ms (s->o.env->o.clock),
          .version_period_ms = version->period_ms,
          .us_per_token = (uint32_t)s->o.pace->us_per_token };
  int64_t lowest = 0;
  int64_t highest = 0;

  now.next_version_ms = wy_yard_version_next (
      version, s->version > version->current, now.now_ms);
  runner->versions (runner->ctx, s->model, &lowest, &highest);
  now.version = (uint64_t)highest;
  now.free_streams = runner->capacity (runner->ctx, s->model);
  tell_progress (s, &now);
  give_up_stragglers (s, &now);
  now.free_streams = restart_refused (s, &now);
  issue_all (s, &now, last);
}

/* Whether every group has its samples.  */
bool
wy_sampling_whole (const struct wy_sampling *s)
{
  return wy_step_is_complete (s->step);
}

/* Whether a group has used up its spares: its last place was issued and came
   to nothing.  */
static bool
used_up (const struct wy_sampling *s)
{
  for (guint i = 0; i < s->samples->len; i++)
    {
      const struct wy_sample *m = s->samples->pdata[i];
      if (m->phase == WY_SAMPLE_GONE
          && wy_step_group_of (s->step, m->index)
                 != wy_step_group_of (s->step, m->index + 1))
        return true;
    }
  return false;
}

/* Whether the step can't become whole any more and must begin again.  */
bool
wy_sampling_stuck (const struct wy_sampling *s)
{
  return s->idle && s->open == 0 && !wy_step_is_complete (s->step)
         && used_up (s);
}

static json_t *
sample_json (const struct wy_sample *m)
{
  return json_pack ("{s:s, s:O, s:s, s:f, s:O}", "sample", m->id, "group",
                    json_object_get (wy_sample_group (m), "group"), "text",
                    m->text, "score", m->score, "segments", m->segments);
}

/* The batch as it goes to the trainer; its sample ids and OLDEST version.  */
json_t *
wy_sampling_batch (const struct wy_sampling *s, json_t **ids, int64_t *oldest)
{
  json_t *samples = json_array ();
  uint32_t *batch;
  uint32_t n = take_batch (s, &batch);

  *ids = json_array ();
  *oldest = INT64_MAX;
  for (uint32_t i = 0; i < n; i++)
    {
      const struct wy_sample *m = sample_at (s, batch[i]);

      json_array_append_new (samples, sample_json (m));
      json_array_append_new (*ids, json_string (m->id));
      if (m->oldest < *oldest)
        *oldest = m->oldest;
    }
  g_free (batch);
  return json_pack ("{s:o}", "samples", samples);
}
