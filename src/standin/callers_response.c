/* Handling of responses, rejections and lost connections by the callers.  */
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "standin/callers.h"

enum
{
  RETRY_DELAY_MS = 200
};

static const char *
ran_field (const json_t *problem)
{
  const char *ran = json_string_value (json_object_get (problem, "ran"));

  return ran ? ran : "unknown";
}

static void
log_response (struct wy_caller *caller, const char *ran)
{
  char digest[2 * sizeof (XXH64_hash_t) + 1] = "";

  /* The service assembles the text of an unstreamed completion from the
     target's stream, so the digest would not match the target's.  */
  if (caller->kind != WY_CALLER_COMPLETION)
    snprintf (
        digest, sizeof digest, "%016llx",
        (unsigned long long)XXH64 (caller->body->str, caller->body->len, 0));
  wy_trace_event (caller->callers->standin->trace, "caller.got",
                  "{s:s, s:s, s:i, s:s, s:s}", "req", caller->request, "key",
                  caller->key, "status", caller->status, "ran", ran, "digest",
                  digest);
}

static void
ask_outcome (struct wy_caller *caller)
{
  caller->asking_outcome = true;
  caller->callers->stats.outcomes_asked++;
  wy_caller_retry (caller, RETRY_DELAY_MS, WY_CALLER_OUTCOME_UNKNOWN);
}

/* Handle the outcome of a filing whose response was lost.  */
static void
handle_outcome (struct wy_caller *caller, const json_t *j)
{
  const char *ran = ran_field (j);

  if (caller->status == 200 && !strcmp (ran, "yes"))
    wy_caller_finish (
        caller,
        WY_CALLER_OUTCOME_UNKNOWN); /* executed, but the response is lost */
  else if (caller->status == 200 && !strcmp (ran, "no"))
    {
      caller->asking_outcome = false;
      wy_caller_retry (caller, RETRY_DELAY_MS, WY_CALLER_OUTCOME_NOT_RUN);
    }
  else
    wy_caller_retry (caller, RETRY_DELAY_MS, WY_CALLER_OUTCOME_UNKNOWN);
}

static void
handle_filing (struct wy_caller *caller, const json_t *j)
{
  const char *key = json_string_value (json_object_get (j, "key"));

  if (json_integer_value (json_object_get (j, "executions")) != 1)
    caller->callers->stats.duplicates++;
  if (!key || strcmp (key, caller->key) != 0)
    caller->callers->stats.spliced++;
  wy_caller_finish (caller, WY_CALLER_OUTCOME_OK);
}

static void
handle_completion (struct wy_caller *caller, const json_t *j)
{
  bool done = true;
  char *text;
  const char *full_text = json_string_value (json_object_get (
      json_array_get (json_object_get (j, "choices"), 0), "text"));

  if (caller->kind == WY_CALLER_STREAM)
    text = wy_callers_join_events (caller->body->str, &done);
  else
    text = g_strdup (full_text ? full_text : "");
  switch (wy_callers_check_text (text))
    {
    case WY_TEXT_COMPLETE:
      if (done)
        {
          wy_caller_finish (caller, WY_CALLER_OUTCOME_OK);
          break;
        }
      /* fall through */
    case WY_TEXT_PARTIAL:
      caller->callers->stats.partial++;
      wy_caller_retry (caller, RETRY_DELAY_MS, WY_CALLER_OUTCOME_UNKNOWN);
      break;
    case WY_TEXT_SPLICED:
      caller->callers->stats.spliced++;
      wy_caller_finish (caller, WY_CALLER_OUTCOME_OK);
      break;
    }
  g_free (text);
}

static void
handle_error (struct wy_caller *caller, const json_t *j)
{
  const char *ran = ran_field (j);
  int64_t after_ms
      = json_integer_value (json_object_get (j, "retry_after_ms"));

  if (!strcmp (ran, "no"))
    {
      caller->callers->stats.not_run_responses++;
      wy_caller_retry (caller, MAX (after_ms, RETRY_DELAY_MS),
                       WY_CALLER_OUTCOME_NOT_RUN);
    }
  else if (caller->kind == WY_CALLER_FILING)
    ask_outcome (caller);
  else
    wy_caller_retry (caller, MAX (after_ms, RETRY_DELAY_MS),
                     strcmp (ran, "yes") != 0 ? WY_CALLER_OUTCOME_UNKNOWN
                                              : WY_CALLER_OUTCOME_FAILED);
}

/* The call of the caller CTX has ended with ERR, 0 or a WY_HTTP_E code.  */
void
wy_caller_on_call_end (void *ctx, int err)
{
  struct wy_caller *caller = ctx;
  json_t *j = json_loadb (caller->body->str, caller->body->len, 0, NULL);

  if (err || caller->status == 0)
    {
      /* A request with a key can be retried safely, as the service recognises
         duplicates; requests without a key are idempotent.  */
      caller->callers->stats.partial += caller->has_data;
      wy_caller_retry (caller, RETRY_DELAY_MS, WY_CALLER_OUTCOME_UNKNOWN);
    }
  else if (caller->asking_outcome)
    handle_outcome (caller, j);
  else
    {
      log_response (caller, caller->status == 200 ? "yes" : ran_field (j));
      if (caller->status != 200)
        handle_error (caller, j);
      else if (caller->kind == WY_CALLER_FILING)
        handle_filing (caller, j);
      else
        handle_completion (caller, j);
    }
  json_decref (j);
}
