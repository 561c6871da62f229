/* One request and its response.

   An exchange is freed when its response has been passed on.  A handler that
   responds later sets an abort callback, which is the only notice that the
   caller has disconnected.  */
#include "http/exchange.h"

#include <string.h>

static char *
keep (struct wy_http_exchange *ex, char *text)
{
  g_ptr_array_add (ex->strings, text);
  return text;
}

static void
exchange_free (struct wy_http_exchange *ex)
{
  g_array_free (ex->fields, TRUE);
  g_ptr_array_free (ex->strings, TRUE);
  g_free (ex);
}

/* The response has been passed on, or nobody waits for it.  */
static void
end (struct wy_http_exchange *ex)
{
  if (!ex->aborting)
    exchange_free (ex);
}

/* The caller has disconnected.  Without a callback the handler still has the
   exchange and will respond to it.  */
static void
on_hangup (void *ctx)
{
  struct wy_http_exchange *ex = ctx;

  ex->request = NULL;
  if (!ex->on_abort)
    return;
  ex->aborting = true;
  ex->on_abort (ex, ex->abort_ctx);
  exchange_free (ex);
}

/* Create the exchange for R.  */
struct wy_http_exchange *
wy_http_exchange_new (struct wy_h1_request *r)
{
  struct wy_http_exchange *ex = g_new0 (struct wy_http_exchange, 1);
  const char *target = wy_h1_target (r);
  size_t path_n = strcspn (target, "?");

  ex->request = r;
  ex->strings = g_ptr_array_new_with_free_func (g_free);
  ex->fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  ex->path = keep (ex, g_strndup (target, path_n));
  ex->query = keep (ex, g_strdup (target[path_n] ? target + path_n + 1 : ""));
  wy_h1_on_hangup (r, on_hangup, ex);
  return ex;
}

/* Method of the request, such as "GET".  */
const char *
wy_http_method (const struct wy_http_exchange *ex)
{
  return ex->request ? wy_h1_method (ex->request) : "";
}

/* Path of the request without the query, not decoded.  */
const char *
wy_http_path (const struct wy_http_exchange *ex)
{
  return ex->path;
}

/* Query of the request without the question mark; empty if there is none.  */
const char *
wy_http_query (const struct wy_http_exchange *ex)
{
  return ex->query;
}

/* Value of the request header NAME, or NULL.  Valid until the response is
   complete.  */
const char *
wy_http_header (struct wy_http_exchange *ex, const char *name)
{
  return ex->request ? wy_h1_head_get (wy_h1_head (ex->request), name) : NULL;
}

/* Number of request headers.  */
size_t
wy_http_header_count (const struct wy_http_exchange *ex)
{
  return ex->request ? wy_h1_head_count (wy_h1_head (ex->request)) : 0;
}

/* Name, in lower case, and value of request header I.  */
void
wy_http_header_at (struct wy_http_exchange *ex, size_t i, const char **name,
                   const char **value)
{
  struct wy_h1_header h = wy_h1_head_at (wy_h1_head (ex->request), i);

  *name = keep (ex, g_ascii_strdown (h.name, -1));
  *value = h.value;
}

/* Body of the request; its size in bytes is stored in N.  */
const char *
wy_http_body (const struct wy_http_exchange *ex, size_t *n)
{
  *n = 0;
  return ex->request ? wy_h1_body (ex->request, n) : "";
}

/* Call CB if the caller disconnects before the response has ended.  EX must
   not be used after CB returns.  */
void
wy_http_on_abort (struct wy_http_exchange *ex,
                  void (*cb) (struct wy_http_exchange *ex, void *ctx),
                  void *ctx)
{
  ex->on_abort = cb;
  ex->abort_ctx = ctx;
}

/* Add a response header; only before the response is started.  */
void
wy_http_add_header (struct wy_http_exchange *ex, const char *name,
                    const char *value)
{
  struct wy_h1_header h
      = { keep (ex, g_strdup (name)), keep (ex, g_strdup (value)) };

  g_array_append_val (ex->fields, h);
}

/* Take the request from EX: from here on it is not aborted.  */
static struct wy_h1_request *
detach (struct wy_http_exchange *ex)
{
  struct wy_h1_request *r = ex->request;

  ex->request = NULL;
  if (r)
    wy_h1_on_hangup (r, NULL, NULL);
  return r;
}

/* Send a complete response with the N bytes at BODY.  Does nothing if the
   response has been started.  EX must not be used afterwards.  */
void
wy_http_respond (struct wy_http_exchange *ex, int status,
                 const char *content_type, const void *body, size_t n)
{
  struct wy_h1_request *r;

  if (ex->started)
    return;
  if (content_type)
    wy_http_add_header (ex, "content-type", content_type);
  r = detach (ex);
  if (r)
    wy_h1_respond (r, status, (const struct wy_h1_header *)ex->fields->data,
                   ex->fields->len, body, n);
  end (ex);
}

/* Start a streamed response.  */
void
wy_http_stream_begin (struct wy_http_exchange *ex, int status,
                      const char *content_type)
{
  ex->started = true;
  if (content_type)
    wy_http_add_header (ex, "content-type", content_type);
  if (ex->request)
    wy_h1_begin_response (ex->request, status,
                          (const struct wy_h1_header *)ex->fields->data,
                          ex->fields->len);
}

/* Append the N bytes at P to a streamed response.  */
void
wy_http_stream_write (struct wy_http_exchange *ex, const void *p, size_t n)
{
  if (ex->request)
    wy_h1_write_response (ex->request, p, n);
}

/* Bytes of a streamed response that the system does not take, since the caller
   has not read those before them.  */
size_t
wy_http_stream_pending_bytes (const struct wy_http_exchange *ex)
{
  return ex->request ? wy_h1_unsent_bytes (ex->request) : 0;
}

/* End a streamed response.  EX must not be used afterwards.  */
void
wy_http_stream_end (struct wy_http_exchange *ex)
{
  struct wy_h1_request *r = detach (ex);

  if (r)
    wy_h1_end_response (r);
  end (ex);
}

/* End a streamed response in such a way that the caller sees that it is
   incomplete.  EX must not be used afterwards.  */
void
wy_http_stream_abort (struct wy_http_exchange *ex)
{
  struct wy_h1_request *r = detach (ex);

  if (r)
    wy_h1_break_off (r);
  end (ex);
}

/* Close the connection of EX without completing the response; the caller
   can't tell whether the request was run.  EX must not be used
   afterwards.  */
void
wy_http_close_connection (struct wy_http_exchange *ex)
{
  struct wy_h1_request *r = detach (ex);

  if (r)
    wy_h1_abort (r);
  end (ex);
}
