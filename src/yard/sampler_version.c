/* The weight version that a step is sampled for.  */
#include "yard/sampler.h"

enum
{
  /* If no engine has activated the trainer's version within this time, the
     activation has failed.  Then samples of the engines' version are used, as
     far as the staleness bound allows it.  */
  ENGINE_LAG_MAX_MS = 5000,
  /* A trainer acknowledges a step and publishes its version within this time,
     in either order.  Samples issued in between would be one version old when
     used.  */
  PUBLISH_WAIT_MS = 1000
};

static int64_t
now_ms (const struct wy_sampler *s)
{
  return wy_clock_mono_ms (s->o.env->o.clock);
}

/* The version that the trainer will have when it takes the batch of JOB.  The
   trainer publishes one version per earlier step that is not acknowledged.  */
int64_t
wy_sampler_expected_version (struct wy_sampler *s,
                             const struct wy_step_job *job)
{
  const struct wy_yard_env *env = s->o.env;
  int64_t current = s->o.version->current;
  int64_t lowest = 0;
  int64_t highest = 0;

  env->o.runner->versions (env->o.runner->ctx, s->model, &lowest, &highest);
  /* Before the first version is published, the trainer has the one that the
     engines started with.  */
  if (current == 0)
    current = highest;
  if (current <= highest)
    s->engines_behind_since_ms = 0;
  else if (s->engines_behind_since_ms == 0)
    s->engines_behind_since_ms = now_ms (s);
  else if (now_ms (s) - s->engines_behind_since_ms > ENGINE_LAG_MAX_MS)
    current = highest;
  return current + job->ahead;
}

/* Whether the trainer is still expected to publish the version of the step of
   ROW: the step is not acknowledged, or was so only recently and no version
   has been published since its delivery.  */
bool
wy_sampler_version_is_pending (struct wy_sampler *s,
                               const struct wy_step_row *row)
{
  if (row->state != WY_STEP_ACKNOWLEDGED)
    return true;
  if (row->current < s->o.version->current)
    return false;
  if (row->step > s->acked_step)
    {
      s->acked_step = row->step;
      s->acked_since_ms = now_ms (s);
    }
  return row->step == s->acked_step
         && now_ms (s) - s->acked_since_ms < PUBLISH_WAIT_MS;
}
