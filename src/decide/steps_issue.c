/* Choice of the next sample to start, and handling of stragglers.  */
#include <stddef.h>

#include "decide/steps_state.h"

/* One extra sample per group for each EXTRA_DIVISOR needed or part of it, so
   that a single straggler doesn't delay the step.  They cost at most an eighth
   of the engines' work, and are started only if streams are free.  */
#define EXTRA_DIVISOR 8
/* Moving a stream must at least halve its remaining time to be worth the
   export and import.  */
#define MOVE_GAIN 2

/* Sort the groups, longest first: a long sample started last would end long
   after all others, with the other streams idle.  An insertion sort is stable,
   and runs only once per step.  */
static void
sort_groups (struct wy_step *s)
{
  for (uint32_t i = 1; i < s->o.groups; i++)
    {
      uint32_t g = s->order[i];
      uint32_t k = i;

      while (k > 0
             && s->group[s->order[k - 1]].predicted_tokens
                    < s->group[g].predicted_tokens)
        {
          s->order[k] = s->order[k - 1];
          k--;
        }
      s->order[k] = g;
    }
  s->sorted = true;
  s->cursor = 0;
}

/* The number of samples of a step that may be started with weights AHEAD
   versions older than those its trainer will have.  They increase staleness,
   but without them engines would be idle while the last samples of the
   previous step end.  With equal cost weights, all samples may be one version
   ahead and none two.  */
uint32_t
wy_step_ahead_max (const struct wy_step_options *o, uint64_t ahead)
{
  double all = (double)o->groups * o->group_samples;
  double sum = o->weights.staleness + o->weights.idle;
  double share = sum > 0 ? 2 * o->weights.idle / sum : 1;

  if (ahead > o->staleness_max)
    return 0;
  if (ahead == 0)
    return UINT32_MAX;
  share -= (double)(ahead - 1);
  if (share <= 0)
    return 0;
  return (uint32_t)(all * (share < 1 ? share : 1));
}

static bool
may_issue_ahead (const struct wy_step *s, const struct wy_step_inputs *now)
{
  if (now->version >= s->o.version)
    return true;
  return s->ahead < wy_step_ahead_max (&s->o, s->o.version - now->version);
}

/* Whether a sample of G that starts now will end before it is too stale.  If
   not, it would be discarded and only use streams that others need.  */
static bool
ends_within_bound (const struct wy_step *s, const struct wy_step_group *g,
                   const struct wy_step_inputs *now)
{
  uint64_t at_end = now->version;
  int64_t end_ms
      = now->now_ms + (int64_t)g->predicted_tokens * now->us_per_token / 1000;

  if (!wy_sample_eligible (now->version, s->o.version, s->o.staleness_max))
    return false;
  if (now->next_version_ms == 0 || end_ms < now->next_version_ms)
    return true;
  at_end++;
  if (now->version_period_ms)
    at_end
        += (uint64_t)(end_ms - now->next_version_ms) / now->version_period_ms;
  return at_end - now->version <= s->o.staleness_max;
}

static uint32_t
missing_samples (const struct wy_step *s, const struct wy_step_group *g)
{
  uint32_t have = g->accepted + g->running - g->overdue;

  return have < s->o.group_samples ? s->o.group_samples - have : 0;
}

static struct wy_step_issuance
issue (struct wy_step *s, uint32_t group, bool extra,
       const struct wy_step_inputs *now)
{
  struct wy_step_group *g = &s->group[group];
  struct wy_step_issuance r = { true, extra, group, 0 };
  struct wy_step_sample *m;

  r.sample = group * s->per_group + g->issued;
  m = &s->sample[r.sample];
  m->state = WY_SAMPLE_RUNNING;
  m->version = now->version;
  m->ahead = now->version < s->o.version;
  m->us_per_token = now->us_per_token;
  g->issued++;
  g->running++;
  if (m->ahead)
    s->ahead++;
  if (extra)
    s->extra++;
  return r;
}

static bool
may_issue (const struct wy_step *s, uint32_t group,
           const struct wy_step_inputs *now)
{
  const struct wy_step_group *g = &s->group[group];

  return g->issued < s->per_group && ends_within_bound (s, g, now);
}

static uint32_t
extras_per_group (const struct wy_step *s)
{
  return (s->o.group_samples + EXTRA_DIVISOR - 1) / EXTRA_DIVISOR;
}

static struct wy_step_issuance
issue_extra (struct wy_step *s, const struct wy_step_inputs *now)
{
  struct wy_step_issuance none = { 0 };

  for (uint32_t i = 0; i < s->o.groups; i++)
    {
      const struct wy_step_group *g = &s->group[s->order[i]];

      if (g->accepted < s->o.group_samples
          && g->accepted + g->running
                 < s->o.group_samples + extras_per_group (s)
          && may_issue (s, s->order[i], now))
        return issue (s, s->order[i], true, now);
    }
  return none;
}

/* The next sample to start, if any should start now.  To be called repeatedly
   while streams are free.  */
struct wy_step_issuance
wy_step_issue (struct wy_step *s, const struct wy_step_inputs *now)
{
  struct wy_step_issuance none = { 0 };

  s->version_is_active = now->version >= s->o.version;
  if (now->free_streams == 0)
    return none;
  if (!may_issue_ahead (s, now))
    return none;
  if (!s->sorted)
    sort_groups (s);
  while (s->cursor < s->o.groups
         && missing_samples (s, &s->group[s->order[s->cursor]]) == 0)
    s->cursor++;
  for (uint32_t i = s->cursor; i < s->o.groups; i++)
    if (missing_samples (s, &s->group[s->order[i]]) > 0
        && may_issue (s, s->order[i], now))
      return issue (s, s->order[i], false, now);
  return now->may_over_issue ? issue_extra (s, now) : none;
}

static enum wy_straggler_action
action_for (const struct wy_step *s, uint32_t sample,
            const struct wy_step_inputs *now)
{
  const struct wy_step_sample *m = &s->sample[sample];
  const struct wy_step_group *g = &s->group[wy_step_group_of (s, sample)];

  if (g->accepted >= s->o.group_samples)
    return WY_STRAGGLER_CANCEL;
  if (!wy_sample_eligible (m->version, s->o.version, s->o.staleness_max))
    return WY_STRAGGLER_DROP;
  if (now->best_us_per_token == 0
      || (uint64_t)now->best_us_per_token * MOVE_GAIN >= m->us_per_token)
    return WY_STRAGGLER_NONE;
  if (m->us_per_token == WY_STEP_STALLED_US || (m->overdue && !m->moved))
    return WY_STRAGGLER_MOVE;
  return WY_STRAGGLER_NONE;
}

/* The next running sample that needs an action, and which.  A sample to be
   dropped or cancelled has already left the step when the call returns; for
   one that is moved, wy_step_moved must be called.  To be called until the
   action is WY_STRAGGLER_NONE, which ends one pass over all samples.  */
struct wy_straggler
wy_step_straggler (struct wy_step *s, const struct wy_step_inputs *now)
{
  struct wy_straggler r = { WY_STRAGGLER_NONE, 0 };

  while (s->scan < wy_step_samples_max (s))
    {
      uint32_t i = s->scan++;

      if (s->sample[i].state != WY_SAMPLE_RUNNING)
        continue;
      r.action = action_for (s, i, now);
      r.sample = i;
      if (r.action == WY_STRAGGLER_NONE)
        continue;
      if (r.action != WY_STRAGGLER_MOVE)
        wy_step_failed (s, i);
      return r;
    }
  s->scan = 0;
  return r;
}
