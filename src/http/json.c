/* JSON responses, and problem details (RFC 9457).  */
#include "http/json.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define MS_PER_S 1000

static void
respond (struct wy_http_exchange *ex, int status, const char *type,
         json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  wy_http_respond (ex, status, type, text, strlen (text));
  free (text);
}

/* Respond with BODY and release it.  EX must not be used afterwards.  */
void
wy_http_respond_json (struct wy_http_exchange *ex, int status, json_t *body)
{
  respond (ex, status, "application/json", body);
}

/* Add a Retry-After header of MS milliseconds, rounded up to seconds.  */
void
wy_http_retry_after (struct wy_http_exchange *ex, uint32_t ms)
{
  char text[16];

  g_snprintf (text, sizeof text, "%" PRIu32, (ms + MS_PER_S - 1) / MS_PER_S);
  wy_http_add_header (ex, "retry-after", text);
}

/* Respond with the problem details P and release P->members.  EX must not be
   used afterwards.  */
void
wy_http_respond_problem (struct wy_http_exchange *ex,
                         const struct wy_http_problem *p)
{
  json_t *body
      = json_pack ("{s:s, s:i}", "title", p->title, "status", p->status);

  if (p->detail)
    json_object_set_new (body, "detail", json_string (p->detail));
  if (p->members)
    json_object_update (body, p->members);
  json_decref (p->members);
  if (p->retry_after_ms)
    wy_http_retry_after (ex, p->retry_after_ms);
  respond (ex, p->status, "application/problem+json", body);
}
