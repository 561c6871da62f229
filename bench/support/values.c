/* All values of one measure.  */
#include "values.h"

#include <stdlib.h>

/* Add V to S.  */
void
wb_values_add (struct wb_values *s, double v)
{
  if (s->n == s->cap)
    {
      s->cap = s->cap ? s->cap * 2 : 1024;
      s->v = realloc (s->v, s->cap * sizeof *s->v);
      if (!s->v)
        abort ();
    }
  s->v[s->n++] = v;
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* The quantile Q (0 to 1) of the values; 0 if there are none.  Sorts S.  */
double
wb_values_quantile (struct wb_values *s, double q)
{
  uint32_t i;

  if (s->n == 0)
    return 0;
  qsort (s->v, s->n, sizeof *s->v, by_value);
  i = (uint32_t)(q * s->n);
  return s->v[i < s->n ? i : s->n - 1];
}

/* Free the memory of S.  */
void
wb_values_free (struct wb_values *s)
{
  free (s->v);
  *s = (struct wb_values){ 0 };
}
