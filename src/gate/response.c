/* Responses that the entry makes itself, and stored responses of replicas.  */
#include "gate/response.h"

#include <string.h>

#include "platform/request_wire.h"

enum
{
  MS_PER_S = 1000
};

/* Respond to R with STATUS.  REASON is one word for the caller's logs;
   RETRY_AFTER_MS goes into the Retry-After field unless it is 0.  429, 503
   and 408 guarantee that the request has not run.  */
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

/* Respond to R with 401: the caller has presented no valid key.  */
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
add_string (struct wy_response *resp, const char *s)
{
  uint32_t offset = (uint32_t)resp->strings->len;

  g_array_append_val (resp->offsets, offset);
  g_string_append_len (resp->strings, s, (gssize)strlen (s) + 1);
}

/* Store STATUS and the header fields of a replica's response that are
   forwarded to the caller.  The body is empty and will be counted in MEMORY.
   */
struct wy_response *
wy_response_new (int status, const struct wy_h1_head *head,
                 struct wy_memory_account *memory)
{
  struct wy_response *resp = g_new0 (struct wy_response, 1);
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));

  resp->status = status;
  resp->strings = g_string_new (NULL);
  resp->offsets = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  resp->body = g_string_new (NULL);
  resp->memory = memory;
  wy_memory_account_add (memory, WY_MEMORY_RESPONSES,
                         (int64_t)resp->body->allocated_len);
  wy_response_forward_fields (head, headers);
  for (guint i = 0; i < headers->len; i++)
    {
      add_string (resp, g_array_index (headers, struct wy_h1_header, i).name);
      add_string (resp, g_array_index (headers, struct wy_h1_header, i).value);
    }
  g_array_free (headers, TRUE);
  return resp;
}

/* Append N BYTES to the body of RESP.  */
void
wy_response_append (struct wy_response *resp, const char *bytes, size_t n)
{
  gsize before_bytes = resp->body->allocated_len;

  g_string_append_len (resp->body, bytes, (gssize)n);
  /* The allocated length doubles.  What is not used of it stands for the
     shorter buffers that the allocator keeps.  */
  wy_memory_account_add (resp->memory, WY_MEMORY_RESPONSES,
                         (int64_t)(resp->body->allocated_len - before_bytes));
}

/* Free RESP, which may be NULL.  */
void
wy_response_free (struct wy_response *resp)
{
  if (!resp)
    return;
  wy_memory_account_add (resp->memory, WY_MEMORY_RESPONSES,
                         -(int64_t)resp->body->allocated_len);
  g_string_free (resp->strings, TRUE);
  g_array_free (resp->offsets, TRUE);
  g_string_free (resp->body, TRUE);
  g_free (resp);
}

static GArray *
headers_of (const struct wy_response *resp)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));

  for (guint i = 0; i + 1 < resp->offsets->len; i += 2)
    {
      struct wy_h1_header h
          = { resp->strings->str + g_array_index (resp->offsets, uint32_t, i),
              resp->strings->str
                  + g_array_index (resp->offsets, uint32_t, i + 1) };

      g_array_append_val (out, h);
    }
  return out;
}

/* Send the complete response RESP to R.  */
void
wy_response_send (const struct wy_response *resp, struct wy_h1_request *r)
{
  GArray *headers = headers_of (resp);

  wy_h1_respond (r, resp->status, (const struct wy_h1_header *)headers->data,
                 headers->len, resp->body->str, resp->body->len);
  g_array_free (headers, TRUE);
}

/* Begin a streamed response to R with RESP's status and header fields.  */
void
wy_response_begin (const struct wy_response *resp, struct wy_h1_request *r)
{
  GArray *headers = headers_of (resp);

  wy_h1_begin_response (r, resp->status,
                        (const struct wy_h1_header *)headers->data,
                        headers->len);
  g_array_free (headers, TRUE);
}
