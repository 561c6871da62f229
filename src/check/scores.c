/* Invariant on the scores of items: what is listed as completed has the mark
   of a good answer to its own scoring call, made when the text was whole, and
   what is given up was failed by the service as often as was agreed.  */
#include <string.h>

#include "check/invariants.h"

enum
{
  STATUS_OK = 200,
  STATUS_FAILED = 500
};

struct scoring
{
  GHashTable *answers; /* replica.answered by request */
  GHashTable *whole;   /* text.whole by item */
};

static const struct wy_event *
answer_with_mark (GPtrArray *answers, const char *mark)
{
  for (guint i = 0; answers && i < answers->len; i++)
    {
      const struct wy_event *e = g_ptr_array_index (answers, i);

      if (wy_event_number (e, "status", 0) == STATUS_OK
          && !strcmp (wy_event_text (e, "mark"), mark))
        return e;
    }
  return NULL;
}

static bool
was_whole_before (const struct scoring *s, const char *item,
                  const struct wy_event *answer)
{
  GPtrArray *whole = wy_check_lookup (s->whole, item);

  for (guint i = 0; whole && i < whole->len; i++)
    if (((const struct wy_event *)g_ptr_array_index (whole, i))->hlc
        < answer->hlc)
      return true;
  return false;
}

static int64_t
failures_before (GPtrArray *answers, const struct wy_event *read)
{
  int64_t n = 0;

  for (guint i = 0; answers && i < answers->len; i++)
    {
      const struct wy_event *e = g_ptr_array_index (answers, i);

      n += wy_event_number (e, "status", 0) == STATUS_FAILED
           && e->hlc < read->hlc;
    }
  return n;
}

static void
verify_read (struct wy_check *c, const struct scoring *s,
             const struct wy_event *e)
{
  const char *item = wy_event_text (e, "item");
  const char *score = wy_event_text (e, "score");
  GPtrArray *answers
      = wy_check_lookup (s->answers, wy_event_text (e, "scorer"));
  const struct wy_event *answer = answer_with_mark (answers, score);

  if (!strcmp (wy_event_text (e, "state"), "abandoned"))
    {
      if (failures_before (answers, e)
          < wy_event_number (e, "allowed_failures", 1))
        wy_check_violation (c, "scores", e, NULL,
                            "item %s is given up too early", item);
    }
  else if (!*score)
    wy_check_violation (c, "scores", e, NULL, "item %s has no score", item);
  else if (!answer)
    wy_check_violation (c, "scores", e, NULL,
                        "item %s has a score that is not its own", item);
  else if (!was_whole_before (s, item, answer))
    wy_check_violation (c, "scores", e, answer,
                        "item %s was scored before its text was whole", item);
}

void
wy_verify_scores (struct wy_check *c)
{
  struct scoring s
      = { .answers = wy_check_index (c, "replica.answered", "req"),
          .whole = wy_check_index (c, "text.whole", "item") };

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      const struct wy_event *e = c->timeline->events->pdata[i];

      if (wy_event_is (e, "result.read") && *wy_event_text (e, "scorer"))
        verify_read (c, &s, e);
    }
  g_hash_table_destroy (s.whole);
  g_hash_table_destroy (s.answers);
}
