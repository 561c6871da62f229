/* Answers of the entry's own, and a replica's answer kept whole.  */
#include "gate/response.h"

#include <string.h>

#include "platform/request_wire.h"

enum
{
  MS_PER_S = 1000
};

/* Answer R with STATUS of our own.  REASON is one word for the caller's
   logs; RETRY_AFTER_MS tells when a new attempt is worth its while, 0: not
   told.  429, 503 and 408 promise that the request has not run.  */
void
wy_respond_status (struct wy_h1_request *r, int status, const char *reason,
                   uint32_t retry_after_ms)
{
  struct wy_h1_header fields[2] = { { "Content-Type", "application/json" } };
  char after[32];
  char body[128];
  size_t n = 1;

  if (retry_after_ms)
    {
      g_snprintf (after, sizeof after, "%u.%03u", retry_after_ms / MS_PER_S,
                  retry_after_ms % MS_PER_S);
      fields[n].name = "Retry-After";
      fields[n++].value = after;
    }
  g_snprintf (body, sizeof body, "{\"status\":%d,\"reason\":\"%s\"}", status,
              reason);
  wy_h1_respond (r, status, fields, n, body, strlen (body));
}

/* Answer R with 401: its caller has shown no valid key.  */
void
wy_respond_unauthorized (struct wy_h1_request *r, const char *reason)
{
  static const struct wy_h1_header fields[]
      = { { "Content-Type", "application/json" },
          { "WWW-Authenticate", "Bearer" } };
  char body[128];

  g_snprintf (body, sizeof body, "{\"status\":401,\"reason\":\"%s\"}", reason);
  wy_h1_respond (r, 401, fields, G_N_ELEMENTS (fields), body, strlen (body));
}

static void
keep_text (struct wy_response *a, const char *text)
{
  uint32_t at = (uint32_t)a->texts->len;

  g_array_append_val (a->fields, at);
  g_string_append_len (a->texts, text, (gssize)strlen (text) + 1);
}

/* Keep status and fields of a replica's answer, as they go to a caller.  */
struct wy_response *
wy_response_new (int status, const struct wy_h1_head *head)
{
  struct wy_response *a = g_new0 (struct wy_response, 1);
  GArray *pairs = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));

  a->status = status;
  a->texts = g_string_new (NULL);
  a->fields = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  a->body = g_string_new (NULL);
  wy_response_forward_fields (head, pairs);
  for (guint i = 0; i < pairs->len; i++)
    {
      keep_text (a, g_array_index (pairs, struct wy_h1_header, i).name);
      keep_text (a, g_array_index (pairs, struct wy_h1_header, i).value);
    }
  g_array_free (pairs, TRUE);
  return a;
}

/* Free A, which may be NULL.  */
void
wy_response_free (struct wy_response *a)
{
  if (!a)
    return;
  g_string_free (a->texts, TRUE);
  g_array_free (a->fields, TRUE);
  g_string_free (a->body, TRUE);
  g_free (a);
}

static GArray *
pairs_of (const struct wy_response *a)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));

  for (guint i = 0; i + 1 < a->fields->len; i += 2)
    {
      struct wy_h1_header p
          = { a->texts->str + g_array_index (a->fields, uint32_t, i),
              a->texts->str + g_array_index (a->fields, uint32_t, i + 1) };

      g_array_append_val (out, p);
    }
  return out;
}

/* Send A whole as the answer to R.  */
void
wy_response_send (const struct wy_response *a, struct wy_h1_request *r)
{
  GArray *p = pairs_of (a);

  wy_h1_respond (r, a->status, (const struct wy_h1_header *)p->data, p->len,
                 a->body->str, a->body->len);
  g_array_free (p, TRUE);
}

/* Begin a stream with A's status and fields as the answer to R.  */
void
wy_response_begin (const struct wy_response *a, struct wy_h1_request *r)
{
  GArray *p = pairs_of (a);

  wy_h1_begin_response (r, a->status, (const struct wy_h1_header *)p->data,
                        p->len);
  g_array_free (p, TRUE);
}
