/* State of the samples of one training step.  */
#include "decide/steps.h"

#include <stdlib.h>

#include "decide/steps_state.h"

/* Limit of samples per group, including extra and replacement ones, as a
   multiple of those needed.  When a group has reached it no more are started,
   and the trainer gets a failure of the step.  */
#define SPARE_FACTOR 3
/* A sample is overdue when longer than this many times its predicted length.
   The limit is lower while the trainer waits only for the last samples of a
   step, when a replacement is worth the extra work; earlier there is time to
   wait for the sample.  */
#define OVERDUE_LAST 2
#define OVERDUE_EARLY 4
/* The last 1 / LAST_SAMPLES_DIVISOR of the samples of a step.  */
#define LAST_SAMPLES_DIVISOR 16

/* A new step, without predictions and started samples.  NULL if memory is
   exhausted or O has no groups or no samples per group.  */
struct wy_step *
wy_step_new (const struct wy_step_options *o)
{
  struct wy_step *s;

  if (o->groups == 0 || o->group_samples == 0)
    return NULL;
  s = calloc (1, sizeof *s);
  if (!s)
    return NULL;
  s->o = *o;
  s->per_group = o->group_samples * SPARE_FACTOR;
  s->group = calloc (o->groups, sizeof *s->group);
  s->order = calloc (o->groups, sizeof *s->order);
  s->sample = calloc ((size_t)o->groups * s->per_group, sizeof *s->sample);
  if (!s->group || !s->order || !s->sample)
    {
      wy_step_free (s);
      return NULL;
    }
  for (uint32_t i = 0; i < o->groups; i++)
    s->order[i] = i;
  return s;
}

void
wy_step_free (struct wy_step *s)
{
  if (!s)
    return;
  free (s->group);
  free (s->order);
  free (s->sample);
  free (s);
}

/* Set the expected length of the samples of GROUP.  */
void
wy_step_predict (struct wy_step *s, uint32_t group, uint32_t predicted_tokens)
{
  if (group >= s->o.groups)
    return;
  s->group[group].predicted_tokens = predicted_tokens;
  s->sorted = false;
}

/* The group that SAMPLE belongs to.  */
uint32_t
wy_step_group_of (const struct wy_step *s, uint32_t sample)
{
  return sample / s->per_group;
}

/* Upper limit (exclusive) of sample numbers.  */
uint32_t
wy_step_samples_max (const struct wy_step *s)
{
  return s->o.groups * s->per_group;
}

struct wy_step_sample *
wy_step_at (struct wy_step *s, uint32_t sample)
{
  if (sample >= wy_step_samples_max (s))
    return NULL;
  return &s->sample[sample];
}

/* Whether the trainer of S waits only for its last samples.  */
static bool
awaits_last_samples (const struct wy_step *s)
{
  uint32_t all = s->o.groups * s->o.group_samples;

  return s->version_is_active
         && (uint64_t)(all - s->accepted) * LAST_SAMPLES_DIVISOR <= all;
}

/* Record that SAMPLE has produced TOKENS so far and takes US_PER_TOKEN, or
   WY_STEP_STALLED_US while it waits.  An overdue sample no longer counts for
   its group: another one is started in addition, and the first to end is
   accepted.  Otherwise one sample in a hundred would delay the whole step.  */
void
wy_step_progress (struct wy_step *s, uint32_t sample, uint32_t tokens,
                  uint32_t us_per_token)
{
  struct wy_step_sample *m = wy_step_at (s, sample);
  struct wy_step_group *g;
  uint64_t limit;

  if (!m || m->state != WY_SAMPLE_RUNNING)
    return;
  m->tokens = tokens;
  m->us_per_token = us_per_token;
  g = &s->group[wy_step_group_of (s, sample)];
  limit = (uint64_t)g->predicted_tokens
          * (awaits_last_samples (s) ? OVERDUE_LAST : OVERDUE_EARLY);
  if (m->overdue || tokens <= limit)
    return;
  m->overdue = true;
  g->overdue++;
  s->cursor = 0;
}

static void
count_stopped (struct wy_step_group *g, const struct wy_step_sample *m)
{
  g->running--;
  if (m->overdue)
    g->overdue--;
}

static void
drop (struct wy_step *s, uint32_t sample)
{
  struct wy_step_group *g = &s->group[wy_step_group_of (s, sample)];

  s->sample[sample].state = WY_SAMPLE_DROPPED;
  count_stopped (g, &s->sample[sample]);
  s->cursor = 0;
}

/* SAMPLE ended with TOKENS; its oldest segment is of OLDEST_VERSION of the
   weights.  Returns whether it is accepted.  */
enum wy_step_verdict
wy_step_done (struct wy_step *s, uint32_t sample, uint64_t oldest_version,
              uint32_t tokens)
{
  struct wy_step_sample *m = wy_step_at (s, sample);
  struct wy_step_group *g;

  if (!m || m->state != WY_SAMPLE_RUNNING)
    return WY_STEP_VERDICT_SURPLUS;
  g = &s->group[wy_step_group_of (s, sample)];
  m->tokens = tokens;
  m->oldest_version = oldest_version;
  if (!wy_sample_eligible (oldest_version, s->o.version, s->o.staleness_max))
    {
      drop (s, sample);
      return WY_STEP_VERDICT_STALE;
    }
  if (g->accepted >= s->o.group_samples)
    {
      drop (s, sample);
      return WY_STEP_VERDICT_SURPLUS;
    }
  m->state = WY_SAMPLE_ACCEPTED;
  count_stopped (g, m);
  g->accepted++;
  s->accepted++;
  return WY_STEP_VERDICT_ACCEPT;
}

/* SAMPLE was lost or can't be verified: it will be replaced.  */
void
wy_step_failed (struct wy_step *s, uint32_t sample)
{
  struct wy_step_sample *m = wy_step_at (s, sample);

  if (m && m->state == WY_SAMPLE_RUNNING)
    drop (s, sample);
}

/* SAMPLE was moved; it won't be moved again.  */
void
wy_step_moved (struct wy_step *s, uint32_t sample)
{
  struct wy_step_sample *m = wy_step_at (s, sample);

  if (m)
    m->moved = true;
}

/* Whether all groups are complete.  */
bool
wy_step_is_complete (const struct wy_step *s)
{
  return s->accepted == s->o.groups * s->o.group_samples;
}

/* The number of accepted samples.  */
uint32_t
wy_step_accepted (const struct wy_step *s)
{
  return s->accepted;
}

/* Store the accepted samples in OUT, by group, OUT_MAX at most.  Returns their
   number.  */
uint32_t
wy_step_batch (const struct wy_step *s, uint32_t *out, uint32_t out_max)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < wy_step_samples_max (s) && n < out_max; i++)
    if (s->sample[i].state == WY_SAMPLE_ACCEPTED)
      out[n++] = i;
  return n;
}

/* Whether a sample whose oldest segment is of OLDEST_VERSION may be used by a
   trainer at TRAINER_VERSION.  To be checked when a batch is fixed and again
   when the trainer gets it, as its version may have changed in between.  */
bool
wy_sample_eligible (uint64_t oldest_version, uint64_t trainer_version,
                    uint32_t staleness_max)
{
  return oldest_version >= trainer_version
         || trainer_version - oldest_version <= staleness_max;
}

/* The trainer will take the batch at TRAINER_VERSION: drop the accepted
   samples that are too old for it, so that they are replaced.  Returns their
   number.  */
uint32_t
wy_step_drop_stale (struct wy_step *s, uint64_t trainer_version)
{
  uint32_t n = 0;

  s->o.version = trainer_version;
  for (uint32_t i = 0; i < wy_step_samples_max (s); i++)
    {
      struct wy_step_sample *m = &s->sample[i];

      if (m->state != WY_SAMPLE_ACCEPTED
          || wy_sample_eligible (m->oldest_version, trainer_version,
                                 s->o.staleness_max))
        continue;
      m->state = WY_SAMPLE_DROPPED;
      s->group[wy_step_group_of (s, i)].accepted--;
      s->accepted--;
      s->cursor = 0;
      n++;
    }
  return n;
}
