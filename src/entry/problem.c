/* Error responses to callers: application/problem+json (RFC 9457) with the
   members `ran' and `reason', and with Retry-After where a retry helps.  */
#include "entry/problem.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry/request.h"

struct reason
{
  const char *name;
  int status;
  const char *title;
  /* Another target may accept the request.  */
  bool is_retryable;
  uint32_t retry_after_ms; /* when the target gave none; 0: no Retry-After */
};

static const struct reason reasons[WY_REASON_COUNT] = {
  [WY_REASON_BUSY]
  = { "busy", 503, "The deadline cannot be met now.", true, 1000 },
  [WY_REASON_LEAVING]
  = { "leaving", 503, "The target is leaving.", true, 1000 },
  [WY_REASON_SUSPECT]
  = { "suspect", 503, "The request crashed two targets and is blocked.", false,
      0 },
  [WY_REASON_NOT_HOME]
  = { "not_home", 503, "The key belongs to another target.", false, 1000 },
  [WY_REASON_TOO_OLD]
  = { "too_old", 409, "Issued before its target could vouch for it.", false,
      0 },
  [WY_REASON_TOO_NEW]
  = { "too_new", 400, "The issue time lies ahead of the clock.", false, 0 },
  [WY_REASON_UNKNOWN_NAME]
  = { "unknown_name", 404, "No such model or service.", false, 0 },
  [WY_REASON_BAD_REQUEST]
  = { "bad_request", 400, "The request makes no sense.", false, 0 },
  [WY_REASON_FULL]
  = { "full", 503, "The target holds too many results.", true, 1000 },
  [WY_REASON_NO_CONFIG]
  = { "no_config", 503, "The configuration is not known.", true, 1000 },
  [WY_REASON_VERSION]
  = { "version", 503, "The weight version is not served yet.", true, 1000 },
  [WY_REASON_LOST] = { "lost", 502, "The target was lost.", true, 1000 },
  [WY_REASON_NO_TARGET]
  = { "no_target", 503, "No target can take the request.", false, 1000 },
  [WY_REASON_DEADLINE]
  = { "deadline", 504, "The deadline passed.", false, 1000 },
  [WY_REASON_CRASHED] = { "crashed", 502, "The target crashed.", true, 1000 },
  [WY_REASON_FAILED] = { "failed", 502, "The target failed.", true, 1000 },
  [WY_REASON_CANCELLED]
  = { "cancelled", 503, "The run was cancelled.", false, 1000 },
  [WY_REASON_HOME_AWAY]
  = { "home_away", 503, "The only target for this key is away.", false, 1000 },
  [WY_REASON_STOPPING]
  = { "stopping", 503, "This entry is stopping.", false, 1000 },
  [WY_REASON_KEY_REUSED]
  = { "key_reused", 422, "The key was used for another request.", false, 0 },
  [WY_REASON_NO_TOKEN]
  = { "no_token", 401, "A bearer token is needed.", false, 0 },
  [WY_REASON_FORBIDDEN]
  = { "forbidden", 403, "The token does not allow this.", false, 0 },
  [WY_REASON_NOT_FOUND] = { "not_found", 404, "Not found.", false, 0 },
  [WY_REASON_TOO_MANY_HEADERS]
  = { "too_many_headers", 431, "Too many headers.", false, 0 },
  [WY_REASON_TOO_MANY_REQUESTS]
  = { "too_many_requests", 503, "Too many requests are in progress.", false,
      1000 },
};

/* REASON as written in the timeline and in responses.  */
const char *
wy_reason_name (enum wy_entry_reason reason)
{
  return reasons[reason].name;
}

/* Whether a request rejected for REASON may be retried at another target.  */
bool
wy_reason_is_retryable (enum wy_entry_reason reason)
{
  return reasons[reason].is_retryable;
}

/* The reason reported to callers when an agent refused a request for R.  */
enum wy_entry_reason
wy_reason_of_refusal (enum wy_refusal_reason r)
{
  switch (r)
    {
    case WY_REFUSED_BUSY:
      return WY_REASON_BUSY;
    case WY_REFUSED_LEAVING:
      return WY_REASON_LEAVING;
    case WY_REFUSED_SUSPECT:
      return WY_REASON_SUSPECT;
    case WY_REFUSED_NOT_HOME:
      return WY_REASON_NOT_HOME;
    case WY_REFUSED_TOO_OLD:
      return WY_REASON_TOO_OLD;
    case WY_REFUSED_TOO_NEW:
      return WY_REASON_TOO_NEW;
    case WY_REFUSED_UNKNOWN_NAME:
      return WY_REASON_UNKNOWN_NAME;
    case WY_REFUSED_BAD_REQUEST:
      return WY_REASON_BAD_REQUEST;
    case WY_REFUSED_FULL:
      return WY_REASON_FULL;
    case WY_REFUSED_NO_CONFIG:
      return WY_REASON_NO_CONFIG;
    case WY_REFUSED_VERSION:
      return WY_REASON_VERSION;
    case WY_REFUSED_LOST:
      break;
    }
  return WY_REASON_LOST;
}

static uint32_t
retry_after_ms (const struct wy_problem *p)
{
  return p->retry_after_ms ? p->retry_after_ms
                           : reasons[p->reason].retry_after_ms;
}

/* P as JSON text, to be freed with free.  */
char *
wy_problem_text (const struct wy_problem *p)
{
  const struct reason *r = &reasons[p->reason];
  uint32_t retry_ms = retry_after_ms (p);
  json_t *j
      = json_pack ("{s:s+, s:s, s:i, s:s, s:s}", "type",
                   "urn:waxwingyard:", r->name, "title", r->title, "status",
                   r->status, "ran", wy_ran_name (p->ran), "reason", r->name);
  char *text;

  if (p->detail)
    json_object_set_new (j, "detail", json_string (p->detail));
  if (p->request)
    json_object_set_new (j, "request", json_string (p->request));
  if (retry_ms)
    json_object_set_new (j, "retry_after_ms", json_integer (retry_ms));
  text = json_dumps (j, JSON_COMPACT);
  json_decref (j);
  return text;
}

/* Respond to EX with P.  EX must not be used afterwards.  */
void
wy_problem_send (struct wy_http_exchange *ex, const struct wy_problem *p)
{
  uint32_t retry_ms = retry_after_ms (p);
  char seconds[16];
  char *text = wy_problem_text (p);

  if (retry_ms)
    {
      g_snprintf (seconds, sizeof seconds, "%u",
                  (retry_ms + WY_MS_PER_S - 1) / WY_MS_PER_S);
      wy_http_add_header (ex, "retry-after", seconds);
    }
  if (p->reason == WY_REASON_NO_TOKEN)
    wy_http_add_header (ex, "www-authenticate", "Bearer");
  wy_http_respond (ex, reasons[p->reason].status, "application/problem+json",
                   text, strlen (text));
  free (text);
}
