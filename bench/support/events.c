/* Binary heap of events.  */
#include "events.h"

#include <stdlib.h>

static bool
before (const struct wb_event *a, const struct wb_event *b)
{
  if (a->at_ms != b->at_ms)
    return a->at_ms < b->at_ms;
  return a->seq < b->seq;
}

/* Add an event of KIND for the agent or trainer INDEX at AT_MS.  */
void
wb_events_add (struct wb_events *q, double at_ms, uint32_t kind,
               uint32_t index, uint64_t arg)
{
  struct wb_event v = { at_ms, q->seq++, kind, index, arg };
  uint32_t i = q->n++;

  if (q->n > q->cap)
    {
      q->cap = q->cap ? q->cap * 2 : 1024;
      q->e = realloc (q->e, q->cap * sizeof *q->e);
      if (!q->e)
        abort ();
    }
  while (i > 0 && before (&v, &q->e[(i - 1) / 2]))
    {
      q->e[i] = q->e[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  q->e[i] = v;
}

/* Remove the earliest event and return it in OUT; false if there is none.  */
bool
wb_events_next (struct wb_events *q, struct wb_event *out)
{
  struct wb_event last;
  uint32_t i = 0;

  if (q->n == 0)
    return false;
  *out = q->e[0];
  last = q->e[--q->n];
  for (;;)
    {
      uint32_t c = 2 * i + 1;

      if (c >= q->n)
        break;
      if (c + 1 < q->n && before (&q->e[c + 1], &q->e[c]))
        c++;
      if (!before (&q->e[c], &last))
        break;
      q->e[i] = q->e[c];
      i = c;
    }
  q->e[i] = last;
  return true;
}

/* Free the memory of Q.  */
void
wb_events_free (struct wb_events *q)
{
  free (q->e);
  *q = (struct wb_events){ 0 };
}
