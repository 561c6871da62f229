/* A running estimate of the median of a sequence of positive values.

   Lengths and waiting times have long tails, which would dominate a mean; for
   expected lengths only the median of the ratio to the real length is close to
   constant.  */
#include "decide/running_median.h"

/* Relative step towards each sample: the first ones find the magnitude, later
   ones follow changes within some hundred samples.  */
static const double first_step = 0.5;
static const double smallest_step = 0.02;

/* Add SAMPLE, a positive value.  */
void
wy_running_median_add (struct wy_running_median *m, double sample)
{
  double step;

  if (sample <= 0)
    return;
  if (m->samples++ == 0)
    {
      m->value = sample;
      return;
    }
  step = first_step / m->samples;
  if (step < smallest_step)
    step = smallest_step;
  if (sample > m->value)
    m->value = sample < m->value * (1 + step) ? sample : m->value * (1 + step);
  else if (sample < m->value)
    m->value = sample > m->value / (1 + step) ? sample : m->value / (1 + step);
}
