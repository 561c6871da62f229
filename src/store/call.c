/* Attempts of one call.

   A call whose connection breaks, or that times out, may have been carried
   out.  Sending a transaction again is safe because it is conditional: if the
   first attempt took effect, the condition of the second fails, and the row
   that is returned contains the operation id of the call, which shows that
   the write is its own.  */
#include "store/call.h"

#include <stdlib.h>
#include <string.h>

#include "http/error.h"

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503,
  BACKOFF_MIN_MS = 50,
  BACKOFF_MAX_MS = 2000,
  /* After a 429 without Retry-After; the service's limit is per second.  */
  RATE_LIMIT_WAIT_MS = 1000
};

static struct wy_store_row *
parse_rows (const json_t *list, size_t *n)
{
  struct wy_store_row *rows
      = g_new0 (struct wy_store_row, json_array_size (list) + 1);

  *n = 0;
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *x = json_array_get (list, i);
      struct wy_store_row *r = &rows[*n];

      r->key = json_string_value (json_object_get (x, "key"));
      r->rev = json_integer_value (json_object_get (x, "rev"));
      r->value = json_object_get (x, "value");
      if (json_is_null (r->value))
        r->value = NULL;
      if (r->key)
        (*n)++;
    }
  return rows;
}

/* Whether one of ROWS was written by an earlier attempt of C; if so, *REV is
   its revision.  */
static bool
find_own_write (const struct wy_store_call *c, const struct wy_store_row *rows,
                size_t n, int64_t *rev)
{
  for (size_t i = 0; i < n; i++)
    {
      const char *op
          = rows[i].value
                ? json_string_value (json_object_get (rows[i].value, "op"))
                : NULL;
      if (op && c->op && !strcmp (op, c->op))
        {
          *rev = rows[i].rev;
          return true;
        }
    }
  return false;
}

static void
complete_txn (struct wy_store_call *c, const json_t *body,
              struct wy_store_result *r)
{
  struct wy_store_row *rows;
  int64_t rev;

  if (c->status == STATUS_OK)
    {
      r->rev = json_integer_value (json_object_get (body, "rev"));
      r->err = r->rev > 0 ? 0 : WY_STORE_ERESPONSE;
      c->on_done (c->ctx, r);
      return;
    }
  rows = parse_rows (json_object_get (body, "failed"), &r->n_rows);
  r->rows = rows;
  r->err = WY_STORE_ECONFLICT;
  if (find_own_write (c, rows, r->n_rows, &rev))
    {
      r->err = 0;
      r->rev = rev;
      r->rows = NULL;
      r->n_rows = 0;
    }
  c->on_done (c->ctx, r);
  g_free (rows);
}

static void
complete_read (struct wy_store_call *c, const json_t *body,
               struct wy_store_result *r)
{
  struct wy_store_row *rows
      = parse_rows (json_object_get (body, "rows"), &r->n_rows);

  r->rows = rows;
  r->rev = json_integer_value (json_object_get (body, "rev"));
  r->err = json_is_array (json_object_get (body, "rows")) ? 0
                                                          : WY_STORE_ERESPONSE;
  c->on_done (c->ctx, r);
  g_free (rows);
}

/* Pass the response of C, whose status is 200, 404 or 409, to its
   callback.  */
void
wy_store_call_complete (struct wy_store_call *c)
{
  struct wy_store_result r = { 0 };
  json_t *body = NULL;

  switch (c->kind)
    {
    case WY_STORE_CALL_TXN:
    case WY_STORE_CALL_READ:
      body = json_loadb (c->response->str, c->response->len, 0, NULL);
      if (c->kind == WY_STORE_CALL_TXN)
        complete_txn (c, body, &r);
      else
        complete_read (c, body, &r);
      json_decref (body);
      break;
    case WY_STORE_CALL_PUT:
    case WY_STORE_CALL_GET:
      r.err = c->status == STATUS_OK ? 0 : WY_STORE_ENOTFOUND;
      r.data = c->response->str;
      r.size_bytes = c->response->len;
      c->on_done (c->ctx, &r);
      break;
    case WY_STORE_CALL_PROBE:
      break;
    }
}

/* The error of C if it ends without a further attempt.  */
int
wy_store_call_error (const struct wy_store_call *c)
{
  if (c->maybe_applied)
    return WY_STORE_EUNKNOWN;
  return c->status == STATUS_TOO_MANY ? WY_STORE_ELIMIT
                                      : WY_STORE_EUNAVAILABLE;
}

/* Whether the attempt of C that ended with ERR gave a result that no retry
   would change.  */
static bool
is_final (const struct wy_store_call *c, int err)
{
  if (err)
    return false;
  switch (c->status)
    {
    case STATUS_OK:
      return true;
    case STATUS_CONFLICT:
      return c->kind == WY_STORE_CALL_TXN;
    case STATUS_NOT_FOUND:
      return c->kind == WY_STORE_CALL_GET;
    default:
      return false;
    }
}

static int64_t
backoff_ms (struct wy_store_call *c)
{
  uint32_t wait = BACKOFF_MIN_MS;

  for (uint32_t i = 1; i < c->attempts && wait < BACKOFF_MAX_MS; i++)
    wait *= 2;
  return wait / 2 + wy_rng_below (&c->store->rng, wait);
}

/* Queue C for its next attempt, or let it fail if the store is down, its
   deadline is near, or the retry budget is used up.  */
static void
retry_or_fail (struct wy_store_call *c)
{
  struct wy_store *s = c->store;
  int64_t now = wy_clock_mono_ms (s->o.clock);

  c->due_ms = now + backoff_ms (c);
  if (c->due_ms < s->rate_limited_until_ms)
    c->due_ms = s->rate_limited_until_ms
                + wy_rng_below (&s->rng, RATE_LIMIT_WAIT_MS);
  if (s->breaker.is_open || c->due_ms >= c->deadline_ms
      || wy_retry_take (&s->retry_budget))
    {
      wy_store_call_fail (c, wy_store_call_error (c));
      return;
    }
  if (s->n_retries)
    ++*s->n_retries;
  g_queue_push_tail_link (&s->waiting, &c->link);
  wy_store_wake (s);
}

static void
on_breaker_opened (struct wy_store *s)
{
  wy_trace_event (s->o.trace, "store.outage", NULL);
  if (s->n_outages)
    ++*s->n_outages;
  wy_store_wake (s);
}

static void
record_response (struct wy_store_call *c, int err)
{
  struct wy_store *s = c->store;
  int64_t now = wy_clock_mono_ms (s->o.clock);

  if (err || c->status >= STATUS_UNAVAILABLE)
    {
      if (wy_circuit_breaker_record_failure (
              &s->breaker, &s->rng, c->kind == WY_STORE_CALL_PROBE, now))
        on_breaker_opened (s);
      return;
    }
  if (wy_circuit_breaker_record_response (&s->breaker))
    wy_trace_event (s->o.trace, "store.back", NULL);
  if (c->status == STATUS_TOO_MANY)
    s->rate_limited_until_ms
        = now + (c->retry_after_ms ? c->retry_after_ms : RATE_LIMIT_WAIT_MS);
}

static void
on_end (void *ctx, int err)
{
  struct wy_store_call *c = ctx;
  struct wy_store *s = c->store;

  c->http = NULL;
  g_queue_unlink (&s->in_flight, &c->link);
  record_response (c, err);
  wy_store_wake (s);
  if (c->kind == WY_STORE_CALL_PROBE)
    {
      wy_store_call_free (c);
      return;
    }
  if (is_final (c, err))
    {
      wy_store_call_complete (c);
      wy_store_call_free (c);
      return;
    }
  if (err && err != WY_HTTP_ECONNECT)
    c->maybe_applied = c->kind == WY_STORE_CALL_TXN;
  if (!err && c->status != STATUS_TOO_MANY && c->status < STATUS_UNAVAILABLE)
    {
      wy_store_call_fail (c, WY_STORE_ERESPONSE);
      return;
    }
  retry_or_fail (c);
}

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  struct wy_store_call *c = ctx;

  c->status = status;
  for (size_t i = 0; i < n; i++)
    if (!g_ascii_strcasecmp (headers[i].name, "retry-after"))
      c->retry_after_ms
          = (uint32_t)strtoul (headers[i].value, NULL, 10) * WY_MS_PER_S;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  g_string_append_len (((struct wy_store_call *)ctx)->response, p, (gssize)n);
}

/* Send one attempt of C, which must be in no queue.  */
void
wy_store_call_send (struct wy_store_call *c)
{
  struct wy_store *s = c->store;
  bool object = c->kind == WY_STORE_CALL_PUT || c->kind == WY_STORE_CALL_GET;
  const struct wy_store_address *a = object ? &s->objects : &s->table;
  const struct wy_http_header_field type
      = { "content-type", "application/json" };
  struct wy_http_call_options o = { .method = "POST",
                                    .host = a->host,
                                    .port = a->port,
                                    .path = c->path,
                                    .headers = &type,
                                    .n_headers = object ? 0 : 1,
                                    .body = c->body->str,
                                    .body_size_bytes = c->body->len,
                                    .timeout_ms = s->o.call_timeout_ms,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .ctx = c };

  if (object)
    o.method = c->kind == WY_STORE_CALL_PUT ? "PUT" : "GET";
  c->attempts++;
  c->status = 0;
  c->retry_after_ms = 0;
  g_string_truncate (c->response, 0);
  g_queue_push_tail_link (&s->in_flight, &c->link);
  c->http = wy_http_call_start (s->http, &o);
}

/* Report ERR to the callback of C, which must be in no queue, and free C.  */
void
wy_store_call_fail (struct wy_store_call *c, int err)
{
  struct wy_store_result r
      = { .err = err, .retry_after_ms = wy_store_retry_after_ms (c->store) };

  c->on_done (c->ctx, &r);
  wy_store_call_free (c);
}

/* Free C, which must be in no queue.  */
void
wy_store_call_free (struct wy_store_call *c)
{
  if (c->http)
    wy_http_call_cancel (c->http);
  g_free (c->op);
  g_free (c->path);
  g_string_free (c->body, TRUE);
  g_string_free (c->response, TRUE);
  g_free (c);
}
