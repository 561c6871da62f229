/* What callers make of an answer, a refusal or a lost connection.  */
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "standin/callers.h"

enum
{
  AGAIN_MS = 200
};

static const char *
ran_of (const json_t *problem)
{
  const char *ran = json_string_value (json_object_get (problem, "ran"));

  return ran ? ran : "unknown";
}

static void
note_got (struct wy_errand *e, const char *ran)
{
  char digest[2 * sizeof (XXH64_hash_t) + 1] = "";

  /* The text of a whole completion is made from what the target sent, so
     only other bodies can be compared.  */
  if (e->kind != WY_ERRAND_WHOLE)
    snprintf (digest, sizeof digest, "%016llx",
              (unsigned long long)XXH64 (e->body->str, e->body->len, 0));
  wy_trace_event (e->callers->standin->trace, "caller.got",
                  "{s:s, s:s, s:i, s:s, s:s}", "req", e->request, "key",
                  e->key, "status", e->status, "ran", ran, "digest", digest);
}

static void
ask_outcome (struct wy_errand *e)
{
  e->asking = true;
  e->callers->books.outcomes_asked++;
  wy_errand_again (e, AGAIN_MS, WY_ERRAND_UNKNOWN);
}

/* What became of a filing whose answer was lost.  */
static void
take_outcome (struct wy_errand *e, const json_t *j)
{
  const char *ran = ran_of (j);

  if (e->status == 200 && !strcmp (ran, "yes"))
    wy_errand_end (
        e, WY_ERRAND_UNKNOWN); /* executed, the answer itself is lost */
  else if (e->status == 200 && !strcmp (ran, "no"))
    {
      e->asking = false;
      wy_errand_again (e, AGAIN_MS, WY_ERRAND_NOT_RUN);
    }
  else
    wy_errand_again (e, AGAIN_MS, WY_ERRAND_UNKNOWN);
}

static void
take_filing (struct wy_errand *e, const json_t *j)
{
  const char *key = json_string_value (json_object_get (j, "key"));

  if (json_integer_value (json_object_get (j, "executions")) != 1)
    e->callers->books.duplicates++;
  if (!key || strcmp (key, e->key) != 0)
    e->callers->books.spliced++;
  wy_errand_end (e, WY_ERRAND_ANSWERED);
}

static void
take_text (struct wy_errand *e, const json_t *j)
{
  bool done = true;
  char *text;
  const char *whole = json_string_value (json_object_get (
      json_array_get (json_object_get (j, "choices"), 0), "text"));

  if (e->kind == WY_ERRAND_STREAM)
    text = wy_callers_join_events (e->body->str, &done);
  else
    text = g_strdup (whole ? whole : "");
  switch (wy_callers_check_text (text))
    {
    case WY_TEXT_COMPLETE:
      if (done)
        {
          wy_errand_end (e, WY_ERRAND_ANSWERED);
          break;
        }
      /* fall through */
    case WY_TEXT_PARTIAL:
      e->callers->books.cut++;
      wy_errand_again (e, AGAIN_MS, WY_ERRAND_UNKNOWN);
      break;
    case WY_TEXT_SPLICED:
      e->callers->books.spliced++;
      wy_errand_end (e, WY_ERRAND_ANSWERED);
      break;
    }
  g_free (text);
}

static void
take_refusal (struct wy_errand *e, const json_t *j)
{
  const char *ran = ran_of (j);
  int64_t after_ms
      = json_integer_value (json_object_get (j, "retry_after_ms"));

  if (!strcmp (ran, "no"))
    {
      e->callers->books.refusals++;
      wy_errand_again (e, MAX (after_ms, AGAIN_MS), WY_ERRAND_NOT_RUN);
    }
  else if (e->kind == WY_ERRAND_FILING)
    ask_outcome (e);
  else
    wy_errand_again (e, MAX (after_ms, AGAIN_MS),
                     strcmp (ran, "yes") != 0 ? WY_ERRAND_UNKNOWN
                                              : WY_ERRAND_FAILED);
}

/* The call of the errand CTX has ended with ERR.  */
void
wy_errand_on_end (void *ctx, int err)
{
  struct wy_errand *e = ctx;
  json_t *j = json_loadb (e->body->str, e->body->len, 0, NULL);

  if (err || e->status == 0)
    {
      /* With a key it is safe to send again: the service tells a repeated
         request.  Without one only idempotent requests are sent.  */
      e->callers->books.cut += e->has_data;
      wy_errand_again (e, AGAIN_MS, WY_ERRAND_UNKNOWN);
    }
  else if (e->asking)
    take_outcome (e, j);
  else
    {
      note_got (e, e->status == 200 ? "yes" : ran_of (j));
      if (e->status != 200)
        take_refusal (e, j);
      else if (e->kind == WY_ERRAND_FILING)
        take_filing (e, j);
      else
        take_text (e, j);
    }
  json_decref (j);
}
