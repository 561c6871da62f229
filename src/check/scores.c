/* Invariant on the scores of items: an item listed as completed has the mark
   of a successful response to its own scoring request, sent after its text was
   complete.  For an item listed as abandoned the scoring service failed as
   often as the job allows.  */
#include <string.h>

#include "check/invariants.h"

enum
{
  STATUS_OK = 200,
  STATUS_FAILED = 500
};

struct scoring
{
  GHashTable *responses; /* replica.answered by request */
  GHashTable *complete;  /* text.whole by item */
};

static const struct wy_event *
response_with_mark (GPtrArray *responses, const char *mark)
{
  for (guint i = 0; responses && i < responses->len; i++)
    {
      const struct wy_event *e = g_ptr_array_index (responses, i);

      if (wy_event_number (e, "status", 0) == STATUS_OK
          && !strcmp (wy_event_text (e, "mark"), mark))
        return e;
    }
  return NULL;
}

static bool
was_complete_before (const struct scoring *s, const char *item,
                     const struct wy_event *response)
{
  GPtrArray *complete = wy_check_lookup (s->complete, item);

  for (guint i = 0; complete && i < complete->len; i++)
    if (((const struct wy_event *)g_ptr_array_index (complete, i))->hlc
        < response->hlc)
      return true;
  return false;
}

static int64_t
failures_before (GPtrArray *responses, const struct wy_event *read)
{
  int64_t n = 0;

  for (guint i = 0; responses && i < responses->len; i++)
    {
      const struct wy_event *e = g_ptr_array_index (responses, i);

      n += wy_event_number (e, "status", 0) == STATUS_FAILED
           && e->hlc < read->hlc;
    }
  return n;
}

static void
verify_result (struct wy_check *c, const struct scoring *s,
               const struct wy_event *e)
{
  const char *item = wy_event_text (e, "item");
  const char *score = wy_event_text (e, "score");
  GPtrArray *responses
      = wy_check_lookup (s->responses, wy_event_text (e, "scorer"));
  const struct wy_event *response = response_with_mark (responses, score);

  if (!strcmp (wy_event_text (e, "state"), "abandoned"))
    {
      if (failures_before (responses, e)
          < wy_event_number (e, "allowed_failures", 1))
        wy_check_violation (c, "scores", e, NULL,
                            "item %s was abandoned after too few failures",
                            item);
    }
  else if (!*score)
    wy_check_violation (c, "scores", e, NULL, "item %s has no score", item);
  else if (!response)
    wy_check_violation (c, "scores", e, NULL,
                        "item %s has a score that no response to its own "
                        "request gave",
                        item);
  else if (!was_complete_before (s, item, response))
    wy_check_violation (c, "scores", e, response,
                        "item %s was scored before its text was complete",
                        item);
}

void
wy_verify_scores (struct wy_check *c)
{
  struct scoring s
      = { .responses = wy_check_index (c, "replica.answered", "req"),
          .complete = wy_check_index (c, "text.whole", "item") };

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      const struct wy_event *e = c->timeline->events->pdata[i];

      if (wy_event_is (e, "result.read") && *wy_event_text (e, "scorer"))
        verify_result (c, &s, e);
    }
  g_hash_table_destroy (s.complete);
  g_hash_table_destroy (s.responses);
}
