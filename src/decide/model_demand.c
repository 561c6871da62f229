/* Number of slots that the jobs of a model need: the expected tokens of a job,
   times the slot time that a token takes, over the time between two jobs.

   Jobs that are late say little about the need, since their trainer waits for
   them and submits less often.  So the interval is the minimum between
   submissions, which rises only slowly.  A trainer that was late catches up
   with submissions in short succession, and one with two open steps submits
   whenever one of them ends.  So the minimum is that of the mean of some
   successive intervals: a single short one would multiply the need.  */
#include "decide/model_demand.h"

#include <glib.h>

enum
{
  /* Jobs submitted within this time count as one: a trainer may split a step,
     and the short time between the halves is not its interval.  */
  SAME_SUBMISSION_MS = 500,
  /* Up to this many intervals, their mean counts as no less than the due time
     over FIRST_DIVISOR: after an outage of the store a trainer submits the
     step that waited and the next one within a second, and a new holder of the
     model's jobs knows no other intervals.  */
  FIRST_INTERVALS = 2,
  FIRST_DIVISOR = 2,
  /* Items completed before a demand is known: the times of single items differ
     by a factor of two.  */
  ITEMS_MIN = 16
};

/* Weight of a new job in the moving average of tokens.  */
static const double job_weight = 0.3;
/* Largest rise of the interval per job: a trainer that becomes slower for good
   is followed within a minute or two.  */
static const double interval_rise_max = 1.05;
/* Weight that the completed items so far keep with each further one, which so
   covers about the last 1000: some jobs, since within a job the short items
   are completed first and the time per token would rise and fall with each. */
static const double item_decay = 0.999;
/* Smaller changes of the demand are not published, so that boundaries between
   models don't move with each job.  */
static const double change_min = 0.15;

/* Mean of the last intervals between submissions.  */
static double
mean_interval_ms (const struct wy_demand_estimate *e)
{
  uint32_t n = e->submissions - 1;

  return (double)(e->submitted_ms[0] - e->submitted_ms[n]) / n;
}

static void
add_submission (struct wy_demand_estimate *e, int64_t submitted_ms)
{
  for (uint32_t i = WY_DEMAND_INTERVALS; i > 0; i--)
    e->submitted_ms[i] = e->submitted_ms[i - 1];
  e->submitted_ms[0] = submitted_ms;
  if (e->submissions <= WY_DEMAND_INTERVALS)
    e->submissions++;
}

/* Record a job with TOKENS expected tokens, submitted at SUBMITTED_MS, whose
   results are due after DUE_MS (0: not configured).  */
void
wy_demand_job_submitted (struct wy_demand_estimate *e, double tokens,
                         int64_t submitted_ms, uint32_t due_ms)
{
  int64_t since_ms = submitted_ms - e->submitted_ms[0];
  double rise_ms = e->interval_ms * interval_rise_max;
  double mean_ms;

  /* A takeover may start an older job, or the same again.  */
  if (e->submissions > 0 && since_ms <= 0)
    return;
  if (e->submissions > 0 && since_ms < SAME_SUBMISSION_MS)
    {
      e->last_tokens += tokens;
      return;
    }
  e->tokens_before = wy_demand_tokens (e);
  e->last_tokens = tokens;
  add_submission (e, submitted_ms);
  if (e->submissions == 1)
    {
      e->interval_ms = due_ms;
      return;
    }
  mean_ms = mean_interval_ms (e);
  if (e->submissions <= FIRST_INTERVALS + 1)
    mean_ms = MAX (mean_ms, (double)due_ms / FIRST_DIVISOR);
  e->interval_ms
      = e->interval_ms == 0 || mean_ms < rise_ms ? mean_ms : rise_ms;
  e->has_interval = true;
}

/* Continue with INTERVAL_MS, which the former holder of the model's jobs has
   measured, unless a shorter one was measured here.  The first interval that a
   new holder sees contains the failure of the former one and is too long.  */
void
wy_demand_adopt_interval (struct wy_demand_estimate *e, double interval_ms)
{
  if (interval_ms <= 0 || (e->has_interval && e->interval_ms <= interval_ms))
    return;
  e->interval_ms = interval_ms;
  e->has_interval = true;
}

/* Record a completed item with TOKENS expected tokens, whose runs took SLOT_MS
   together.  */
void
wy_demand_item_completed (struct wy_demand_estimate *e, double tokens,
                          double slot_ms)
{
  e->item_tokens = e->item_tokens * item_decay + tokens;
  e->item_slot_ms = e->item_slot_ms * item_decay + slot_ms;
  if (e->items < ITEMS_MIN)
    e->items++;
}

/* Average of expected tokens of a job; 0: unknown.  */
double
wy_demand_tokens (const struct wy_demand_estimate *e)
{
  if (e->tokens_before == 0)
    return e->last_tokens;
  return e->tokens_before + job_weight * (e->last_tokens - e->tokens_before);
}

/* Slot time per expected token in ms; 0: unknown.  */
double
wy_demand_ms_per_token (const struct wy_demand_estimate *e)
{
  return e->items < ITEMS_MIN || e->item_tokens <= 0
             ? 0
             : e->item_slot_ms / e->item_tokens;
}

/* Average number of slots that the jobs need; 0: unknown.  */
double
wy_demand_slots (const struct wy_demand_estimate *e)
{
  if (e->interval_ms <= 0)
    return 0;
  return wy_demand_tokens (e) * wy_demand_ms_per_token (e) / e->interval_ms;
}

/* Whether to publish the demand now, and which: a new one in SLOTS if it
   differs from the one that is PUBLISHED, or the same again before it becomes
   invalid.  A demand based on a guessed interval doesn't replace a higher one,
   which the former holder of the model's jobs measured.  */
bool
wy_demand_is_due (const struct wy_demand_estimate *e,
                  const struct wy_published_demand *published, double *slots)
{
  bool valid
      = published->age_ms >= 0 && published->age_ms <= WY_DEMAND_VALID_MS;
  double change;

  *slots = wy_demand_slots (e);
  if (*slots <= 0)
    return false;
  if (!valid)
    return true;
  change = *slots - published->slots;
  if (change > published->slots * change_min
      || (e->has_interval && -change > published->slots * change_min))
    return true;
  *slots = published->slots;
  return published->age_ms >= WY_DEMAND_RENEW_MS;
}
