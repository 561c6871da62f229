/* The time per event of job items at a target, by the number of runs there.

   The time of a target with one run is separated from the slow-down by further
   runs, which all targets of a service have in common: otherwise a target that
   has many runs now would seem slow hardware, and an idle slow one fast.  */
#include "decide/pace.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

enum
{
  /* The pace of a target is unknown after this time without a new sample;
     otherwise a slow target would never be tried again.  */
  VALID_MS = 4000,
  /* A reported percentage says nothing of later events.  */
  PERCENT_VALID_MS = 300,
  /* Samples until the slope is known.  */
  SLOPE_SAMPLES_MIN = 100,
  /* A target is compared with others after this time: until then its average
     depends on the runs that it had, as far as these don't act linearly.  */
  SETTLED_MS = 5000,
  /* The third of this many targets is at least one.  */
  SPREAD_TARGETS_MIN = 3
};

/* Weight of a new sample in the pace, which so covers about the last five
   samples.  */
static const double pace_smoothing = 0.2;
/* The same in the means of one target, from which deviations are taken, and in
   the sums of the service: about the last 20 and 300 samples.  */
static const double mean_smoothing = 0.05;
static const double slope_smoothing = 0.003;
/* The slope is unknown while the numbers of runs hardly vary.  */
static const double variance_min = 0.25;
static const double slope_max = 0.2;
/* Largest relative deviation of a sample that counts: a temporary slow-down
   must not decide the slope.  */
static const double deviation_max = 1;
/* Decay of the sums for the percentage per sample, and the weight of the
   assumption that it has no effect, equal to that of two samples at half or
   twice the usual percentage.  */
static const double percent_decay = 0.995;
static const double percent_prior_weight = 1;
/* Targets count as uneven from this ratio of the slowest to the fastest third
   on, until it falls below the second value.  With random variation of event
   times by a third, equal targets stay below 1.2.  */
static const double uneven_ratio = 1.25;
static const double even_ratio = 1.15;

/* Factor on the time per event if RUNS run at a target of S.  */
double
wy_pace_run_factor (const struct wy_pace_service *s, uint32_t runs)
{
  return 1 + s->slope * (MAX (runs, 1) - 1.0);
}

static bool
has_percent (const struct wy_pace_target *t, int64_t now_ms)
{
  return t->percent && now_ms - t->percent_ms <= PERCENT_VALID_MS;
}

/* Factor on the time per event according to the percentage that the target has
   reported.  Whether a larger one means a faster or a slower target is learned
   from the events.  */
static double
by_percent (const struct wy_pace_service *s, const struct wy_pace_target *t,
            int64_t now_ms)
{
  return has_percent (t, now_ms) ? pow (t->percent / 100.0, s->exponent) : 1;
}

/* Record that the target T of S has reported PERCENT, which is usually 100. */
void
wy_pace_record_percent (struct wy_pace_service *s, struct wy_pace_target *t,
                        uint32_t percent, int64_t now_ms)
{
  s->percent_reported = true;
  t->percent = percent;
  t->percent_ms = now_ms;
}

/* Learn the effect of the percentage from a sample of MS at RUNS, compared
   with the usual pace of the target.  */
static void
learn_percent (struct wy_pace_service *s, const struct wy_pace_target *t,
               uint32_t runs, double ms, int64_t now_ms)
{
  double usual_ms
      = wy_usual_pace_ms (&t->usual) * wy_pace_run_factor (s, runs);
  double x;

  if (!has_percent (t, now_ms) || t->percent == 100 || usual_ms <= 0)
    return;
  x = log (t->percent / 100.0);
  s->percent_weight = percent_decay * s->percent_weight + x * x;
  s->percent_product
      = percent_decay * s->percent_product + x * log (ms / usual_ms);
  s->exponent = CLAMP (
      s->percent_product / (s->percent_weight + percent_prior_weight), -1, 1);
}

/* Learn the slope from a sample of MS at RUNS.  Only deviations from the means
   of the same target count, so that a difference in speed between targets is
   not taken for an effect of their runs.  */
static void
learn_slope (struct wy_pace_service *s, struct wy_pace_target *t,
             uint32_t runs, double ms)
{
  double runs_deviation = runs - t->runs_mean;
  double relative;
  double step;

  if (t->samples++ == 0)
    {
      t->runs_mean = runs;
      t->ms_mean = ms;
      return;
    }
  relative = CLAMP (ms / t->ms_mean - 1, -deviation_max, deviation_max);
  s->samples++;
  step = MAX (slope_smoothing, 1.0 / s->samples);
  s->runs_mean += step * (runs - s->runs_mean);
  s->variance += step * (runs_deviation * runs_deviation - s->variance);
  s->covariance += step * (runs_deviation * relative - s->covariance);
  t->runs_mean += mean_smoothing * runs_deviation;
  t->ms_mean += mean_smoothing * (ms - t->ms_mean);
  if (s->samples < SLOPE_SAMPLES_MIN || s->variance < variance_min)
    return;
  /* The slope at the mean number of runs, then that at one run.  */
  relative = CLAMP (s->covariance / s->variance, 0, slope_max);
  s->slope = MIN (relative / MAX (1 - relative * (s->runs_mean - 1), 0.1),
                  slope_max);
  s->slope_known = true;
}

/* Record that an event took MS at the target T of S while RUNS ran there.  */
void
wy_pace_record (struct wy_pace_service *s, struct wy_pace_target *t,
                uint32_t runs, double ms, int64_t now_ms)
{
  double single_ms;

  if (ms <= 0)
    return;
  learn_percent (s, t, runs, ms, now_ms);
  ms /= by_percent (s, t, now_ms);
  learn_slope (s, t, runs, ms);
  single_ms = ms / wy_pace_run_factor (s, runs);
  if (t->single_ms <= 0 || now_ms - t->seen_ms > VALID_MS)
    t->single_ms = single_ms;
  else
    t->single_ms += pace_smoothing * (single_ms - t->single_ms);
  t->seen_ms = now_ms;
  /* What was recorded without the slope depends on the runs at that time.  */
  if (s->slope_known && !t->usual_has_slope)
    {
      t->usual_has_slope = true;
      t->usual = (struct wy_usual_pace){ 0 };
    }
  wy_usual_pace_record (&t->usual, single_ms, now_ms);
}

/* Expected time per event at the target T of S if RUNS run there; 0: unknown,
   also if the last sample is too old.  */
double
wy_pace_expected_ms (const struct wy_pace_service *s,
                     const struct wy_pace_target *t, uint32_t runs,
                     int64_t now_ms)
{
  if (t->single_ms <= 0 || now_ms - t->seen_ms > VALID_MS)
    return 0;
  return t->single_ms * wy_pace_run_factor (s, runs)
         * by_percent (s, t, now_ms);
}

/* The same without temporary slow-downs, also when the last sample is old.  */
double
wy_pace_usual_ms (const struct wy_pace_service *s,
                  const struct wy_pace_target *t, uint32_t runs)
{
  return wy_usual_pace_ms (&t->usual) * wy_pace_run_factor (s, runs);
}

/* Usual time per event at T with one run, for a comparison with other targets;
   0: not observed for long enough with the slope.  */
double
wy_pace_settled_ms (const struct wy_pace_target *t)
{
  return t->usual_has_slope && t->usual.observed_ms >= SETTLED_MS
             ? wy_usual_pace_ms (&t->usual)
             : 0;
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* Set D from the usual paces PACES_MS of N targets with one run, which are
   sorted.  */
void
wy_pace_spread_update (struct wy_pace_spread *d, double *paces_ms, size_t n)
{
  size_t third = n / 3;
  double slowest_ms = 0;

  d->fastest_ms = 0;
  d->ratio = 1;
  if (n >= SPREAD_TARGETS_MIN)
    {
      qsort (paces_ms, n, sizeof *paces_ms, compare_values);
      for (size_t i = 0; i < third; i++)
        {
          d->fastest_ms += paces_ms[i] / third;
          slowest_ms += paces_ms[n - 1 - i] / third;
        }
      d->ratio = slowest_ms / d->fastest_ms;
    }
  d->uneven = d->ratio >= (d->uneven ? even_ratio : uneven_ratio);
}

/* Whether a target of the usual pace PACE_MS is among the slow ones of D.  */
bool
wy_pace_spread_is_slow (const struct wy_pace_spread *d, double pace_ms)
{
  return d->uneven && pace_ms >= even_ratio * d->fastest_ms;
}
