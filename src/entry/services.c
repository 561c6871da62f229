/* Callers' requests to services: method, path, headers, body and the response
   are forwarded unchanged.  */
#include <string.h>

#include "entry/callers.h"
#include "entry/pool.h"
#include "entry/problem.h"
#include "entry/request.h"

#define PREFIX "/services/"

/* Hop-by-hop headers and those that are set anew at each hop; not
   forwarded.  */
static const char *const hop_headers[]
    = { "connection",     "keep-alive", "te",
        "trailer",        "upgrade",    "expect",
        "content-length", "host",       "authorization",
        "date",           "server",     NULL };

static bool
is_hop_header (const char *name)
{
  if (!g_ascii_strcasecmp (name, "transfer-encoding")
      || !g_ascii_strncasecmp (name, "proxy-", strlen ("proxy-")))
    return true;
  for (size_t i = 0; hop_headers[i]; i++)
    if (!g_ascii_strcasecmp (name, hop_headers[i]))
      return true;
  return false;
}

static const char *
content_type (const struct wy_request *r)
{
  for (guint i = 0; i + 1 < r->response_headers->len; i += 2)
    if (!g_ascii_strcasecmp (r->response_headers->pdata[i], "content-type"))
      return r->response_headers->pdata[i + 1];
  return NULL;
}

static void
forward_headers (const struct wy_request *r, struct wy_http_exchange *ex)
{
  for (guint i = 0; i + 1 < r->response_headers->len; i += 2)
    {
      const char *name = r->response_headers->pdata[i];

      if (!is_hop_header (name) && g_ascii_strcasecmp (name, "content-type"))
        wy_http_add_header (ex, name, r->response_headers->pdata[i + 1]);
    }
  wy_http_add_header (ex, "waxwing-request-id", r->id);
}

/* An event stream is forwarded as it arrives.  Any other response is buffered
   until it is complete, so that a lost run can be retried without the caller
   noticing.  */
static void
on_head (struct wy_sink *s, struct wy_request *r)
{
  struct wy_caller *c = (struct wy_caller *)s;
  const char *type = content_type (r);

  if (r->non_idempotent || !type
      || g_ascii_strncasecmp (type, "text/event-stream",
                              strlen ("text/event-stream")))
    return;
  s->streams = true;
  forward_headers (r, c->ex);
  wy_http_stream_begin (c->ex, (int)r->status, type);
}

static void
on_done (struct wy_sink *s, struct wy_request *r)
{
  bool streamed = s->streams;
  struct wy_http_exchange *ex = wy_caller_detach (s);

  if (streamed)
    {
      wy_http_stream_end (ex);
      return;
    }
  forward_headers (r, ex);
  wy_http_respond (ex, (int)r->status, content_type (r), r->response->str,
                   r->response->len);
}

static const struct wy_sink service_sink = { .head = on_head,
                                             .data = wy_caller_stream_data,
                                             .done = on_done,
                                             .rejected = wy_caller_reject };

static void
copy_headers (struct wy_request *r, struct wy_http_exchange *ex)
{
  size_t n = wy_http_header_count (ex);
  const char *name;
  const char *value;

  r->headers = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < n; i++)
    {
      wy_http_header_at (ex, i, &name, &value);
      if (is_hop_header (name))
        continue;
      g_ptr_array_add (r->headers, g_strdup (name));
      g_ptr_array_add (r->headers, g_strdup (value));
    }
}

/* Fingerprint of key, method, path and body.  With the key alone, different
   requests under one key would have the same fingerprint; without it, so would
   all requests without a body.  */
static uint64_t
fingerprint (const struct wy_request *r)
{
  GString *all = g_string_new (r->key);
  uint64_t f;

  g_string_append_printf (all, " %s %s ", r->method, r->path);
  g_string_append_len (all, r->body->str, (gssize)r->body->len);
  f = wy_fingerprint (NULL, all->str, all->len);
  g_string_free (all, TRUE);
  return f;
}

/* Forward the request of EX to the service that its path names.  */
void
wy_services_http (struct wy_entry *e, struct wy_http_exchange *ex)
{
  const char *rest = wy_http_path (ex) + strlen (PREFIX);
  const char *slash = strchr (rest, '/');
  const char *query = wy_http_query (ex);
  size_t name_n = slash ? (size_t)(slash - rest) : strlen (rest);
  char *name = g_strndup (rest, name_n);
  struct wy_pool *l = wy_pool_get (e, name);
  struct wy_problem unknown = { .reason = WY_REASON_UNKNOWN_NAME };
  struct wy_request *r;
  const char *body;
  size_t n;

  if (!wy_caller_check_ready (e, ex))
    {
      g_free (name);
      return;
    }
  if (!l || l->is_model)
    {
      wy_problem_send (ex, &unknown);
      g_free (name);
      return;
    }
  r = wy_request_new (e, name, l);
  g_free (name);
  if (!wy_caller_read_headers (r, ex))
    {
      wy_request_free (r);
      return;
    }
  body = wy_http_body (ex, &n);
  r->method = g_strdup (wy_http_method (ex));
  r->path = g_strconcat (slash ? slash : "/", *query ? "?" : "", query, NULL);
  g_string_append_len (r->body, body, (gssize)n);
  copy_headers (r, ex);
  r->fingerprint = fingerprint (r);
  wy_caller_open (r, ex, &service_sink);
}
