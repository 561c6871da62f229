/* The samples of one step.  decide/steps.h decides which samples to issue and
   which to stop; this module does so.  */
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

      wy_step_predict (
          s->step, (uint32_t)i,
          (uint32_t)((double)max_tokens * s->o.estimates->token_share) + 1);
    }
}

/* Start a step with the options O.  Returns NULL if its groups are invalid. */
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

/* Drop all samples of S that are in no batch, for REASON, and free S. BATCHED:
   the accepted samples are in a batch, or may be.  */
void
wy_sampling_free (struct wy_sampling *s, const char *reason, bool batched)
{
  if (!s)
    return;
  for (guint i = 0; i < s->samples->len; i++)
    {
      struct wy_sample *m = s->samples->pdata[i];

      if (m->phase != WY_SAMPLE_PHASE_DROPPED
          && (m->phase != WY_SAMPLE_PHASE_ACCEPTED || !batched))
        wy_sample_drop (m, reason);
      m->owner = NULL;
      if (!m->run_pending)
        wy_sample_free (m);
    }
  g_ptr_array_free (s->samples, TRUE);
  wy_step_free (s->step);
  json_decref (s->groups);
  g_free (s->model);
  g_free (s->trainer);
  g_free (s);
}

/* The sample with number INDEX in wy_step, or NULL.  */
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

/* Set *OUT to the numbers of the accepted samples, to be freed.  Returns how
   many there are.  */
static uint32_t
list_accepted (const struct wy_sampling *s, uint32_t **out)
{
  uint32_t n = wy_step_accepted (s->step);

  *out = g_new (uint32_t, n + 1);
  return wy_step_batch (s->step, *out, n);
}

static bool
contains (const uint32_t *list, uint32_t n, uint32_t index)
{
  for (uint32_t i = 0; i < n; i++)
    if (list[i] == index)
      return true;
  return false;
}

/* Set the version that the trainer will have when it takes the batch to
   VERSION.  Samples that are too stale for it are dropped and replaced.  */
void
wy_sampling_set_version (struct wy_sampling *s, int64_t version)
{
  uint32_t *batch;
  uint32_t n;

  if (version == s->version)
    return;
  s->version = version;
  if (wy_step_drop_stale (s->step, (uint64_t)version) == 0)
    return;
  n = list_accepted (s, &batch);
  for (guint i = 0; i < s->samples->len; i++)
    {
      struct wy_sample *m = s->samples->pdata[i];
      if (m->phase == WY_SAMPLE_PHASE_ACCEPTED
          && !contains (batch, n, m->index))
        wy_sample_drop (m, "stale");
    }
  g_free (batch);
}

static void
stop_stragglers (struct wy_sampling *s, const struct wy_step_inputs *now)
{
  for (;;)
    {
      struct wy_straggler r = wy_step_straggler (s->step, now);
      struct wy_sample *m;

      if (r.action == WY_STRAGGLER_NONE)
        return;
      if (r.action == WY_STRAGGLER_MOVE)
        {
          /* The agents move the stream on their own.  */
          wy_step_moved (s->step, r.sample);
          continue;
        }
      m = sample_at (s, r.sample);
      if (m)
        wy_sample_drop (m,
                        r.action == WY_STRAGGLER_DROP ? "stale" : "surplus");
    }
}

/* Start the rejected samples that are due again.  Returns the number of
   streams that stay free.  */
static uint32_t
restart_rejected (struct wy_sampling *s, const struct wy_step_inputs *now)
{
  uint32_t n = now->free_streams;

  for (guint i = 0; i < s->samples->len && n > 0; i++)
    {
      struct wy_sample *m = s->samples->pdata[i];

      if (m->phase != WY_SAMPLE_PHASE_WAITING || m->due_ms > now->now_ms)
        continue;
      wy_sample_start (m);
      n--;
    }
  return n;
}

static void
issue_sample (struct wy_sampling *s, uint32_t index)
{
  struct wy_sample *m = g_malloc0 (sizeof *m);

  m->owner = s;
  m->index = index;
  wy_id_new (s->o.env->o.clock, m->id);
  g_ptr_array_add (s->samples, m);
  s->n_unfinished++;
  wy_sample_start (m);
}

/* Estimate the progress of the running samples from their duration, since
   engines report none to the yard.  A sample that takes much longer than
   others is overdue, and decide/steps.h has it replaced.  */
static void
estimate_progress (struct wy_sampling *s, const struct wy_step_inputs *now)
{
  for (guint i = 0; i < s->samples->len; i++)
    {
      const struct wy_sample *m = s->samples->pdata[i];
      double us = (double)(now->now_ms - m->started_ms) * WY_US_PER_MS;

      if (m->phase == WY_SAMPLE_PHASE_RUNNING)
        wy_step_progress (s->step, m->index,
                          (uint32_t)(us / s->o.estimates->us_per_token),
                          now->us_per_token);
    }
}

/* Issue samples while streams are free.  IS_LAST_STEP: no other step can use
   the free streams, so more samples than needed may be issued.  */
static void
issue_all (struct wy_sampling *s, struct wy_step_inputs *now,
           bool is_last_step)
{
  s->issue_blocked = false;
  while (now->free_streams > 0)
    {
      struct wy_step_issuance r = wy_step_issue (s->step, now);

      if (r.is_issued)
        {
          issue_sample (s, r.sample);
          now->free_streams--;
        }
      else if (is_last_step && !now->may_over_issue)
        now->may_over_issue = true;
      else
        {
          s->issue_blocked = true;
          return;
        }
    }
}

/* Stop stragglers and start samples that are due.  IS_LAST_STEP: no other step
   of the trainer waits for free streams.  */
void
wy_sampling_run (struct wy_sampling *s, const struct wy_yard_version *version,
                 bool is_last_step)
{
  const struct wy_runner *runner = s->o.env->o.runner;
  struct wy_step_inputs now
      = { .now_ms = wy_clock_mono_ms (s->o.env->o.clock),
          .version_period_ms = version->period_ms,
          .us_per_token = (uint32_t)s->o.estimates->us_per_token };
  int64_t lowest = 0;
  int64_t highest = 0;

  now.next_version_ms = wy_yard_version_expected_ms (
      version, s->version > version->current, now.now_ms);
  runner->versions (runner->ctx, s->model, &lowest, &highest);
  now.version = (uint64_t)highest;
  now.free_streams = runner->capacity (runner->ctx, s->model);
  estimate_progress (s, &now);
  stop_stragglers (s, &now);
  now.free_streams = restart_rejected (s, &now);
  issue_all (s, &now, is_last_step);
}

/* Whether all groups are complete.  */
bool
wy_sampling_is_complete (const struct wy_sampling *s)
{
  return wy_step_is_complete (s->step);
}

/* Whether a group has used up its spare samples: its last sample was issued
   and dropped.  */
static bool
has_exhausted_group (const struct wy_sampling *s)
{
  for (guint i = 0; i < s->samples->len; i++)
    {
      const struct wy_sample *m = s->samples->pdata[i];
      if (m->phase == WY_SAMPLE_PHASE_DROPPED
          && wy_step_group_of (s->step, m->index)
                 != wy_step_group_of (s->step, m->index + 1))
        return true;
    }
  return false;
}

/* Whether the step can't be completed any more and has to be started again. */
bool
wy_sampling_is_exhausted (const struct wy_sampling *s)
{
  return s->issue_blocked && s->n_unfinished == 0
         && !wy_step_is_complete (s->step) && has_exhausted_group (s);
}

static json_t *
sample_json (const struct wy_sample *m)
{
  return json_pack ("{s:s, s:O, s:s, s:f, s:O}", "sample", m->id, "group",
                    json_object_get (wy_sample_group (m), "group"), "text",
                    m->text, "score", m->score, "segments", m->segments);
}

/* The batch as the trainer gets it, with its sample IDS and the OLDEST version
   of its tokens.  */
json_t *
wy_sampling_batch (const struct wy_sampling *s, json_t **ids, int64_t *oldest)
{
  json_t *samples = json_array ();
  uint32_t *batch;
  uint32_t n = list_accepted (s, &batch);

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
