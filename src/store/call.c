/* Attempts of one call.

   A call whose connection breaks, or that times out, may have been carried
   out.  Sending a transaction again is safe because it is conditional: if the
   first attempt took effect, the second fails its condition, and the failed
   row holds our operation id, by which we know that the write is ours.  */
#include "store/call.h"

#include <stdlib.h>
#include <string.h>

#include "http/error.h"

enum
{
  STATUS_OK = 200,
  STATUS_MISSING = 404,
  STATUS_CONFLICT = 409,
  STATUS_LIMIT = 429,
  STATUS_DOWN = 503,
  BACKOFF_MIN_MS = 50,
  BACKOFF_MAX_MS = 2000,
  /* A 429 without Retry-After; the service counts by the second.  */
  LIMIT_WAIT_MS = 1000
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

static bool
own_write (const struct wy_store_call *c, const struct wy_store_row *rows,
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
give_txn (struct wy_store_call *c, const json_t *answer,
          struct wy_store_result *r)
{
  struct wy_store_row *rows;
  int64_t rev;

  if (c->status == STATUS_OK)
    {
      r->rev = json_integer_value (json_object_get (answer, "rev"));
      r->err = r->rev > 0 ? 0 : WY_STORE_EANSWER;
      c->on_done (c->ctx, r);
      return;
    }
  rows = parse_rows (json_object_get (answer, "failed"), &r->n_rows);
  r->rows = rows;
  r->err = WY_STORE_ECONFLICT;
  if (own_write (c, rows, r->n_rows, &rev))
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
give_read (struct wy_store_call *c, const json_t *answer,
           struct wy_store_result *r)
{
  struct wy_store_row *rows
      = parse_rows (json_object_get (answer, "rows"), &r->n_rows);

  r->rows = rows;
  r->rev = json_integer_value (json_object_get (answer, "rev"));
  r->err = json_is_array (json_object_get (answer, "rows")) ? 0
                                                            : WY_STORE_EANSWER;
  c->on_done (c->ctx, r);
  g_free (rows);
}

/* Give the caller the answer that C holds, whose status is 200, 404 or
   409.  */
void
wy_store_call_give (struct wy_store_call *c)
{
  struct wy_store_result r = { 0 };
  json_t *answer = NULL;

  switch (c->kind)
    {
    case WY_STORE_CALL_TXN:
    case WY_STORE_CALL_READ:
      answer = json_loadb (c->answer->str, c->answer->len, 0, NULL);
      if (c->kind == WY_STORE_CALL_TXN)
        give_txn (c, answer, &r);
      else
        give_read (c, answer, &r);
      json_decref (answer);
      break;
    case WY_STORE_CALL_PUT:
    case WY_STORE_CALL_GET:
      r.err = c->status == STATUS_OK ? 0 : WY_STORE_EMISSING;
      r.data = c->answer->str;
      r.size_bytes = c->answer->len;
      c->on_done (c->ctx, &r);
      break;
    case WY_STORE_CALL_PROBE:
      break;
    }
}

/* The error for a call that is given up now.  */
int
wy_store_call_failed (const struct wy_store_call *c)
{
  if (c->uncertain)
    return WY_STORE_EUNKNOWN;
  return c->status == STATUS_LIMIT ? WY_STORE_ELIMIT : WY_STORE_EDOWN;
}

static bool
definite (const struct wy_store_call *c, int err)
{
  if (err)
    return false;
  switch (c->status)
    {
    case STATUS_OK:
      return true;
    case STATUS_CONFLICT:
      return c->kind == WY_STORE_CALL_TXN;
    case STATUS_MISSING:
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

/* Put C back to wait for its next attempt, or give it up.  */
static void
again (struct wy_store_call *c)
{
  struct wy_store *s = c->store;
  int64_t now = wy_clock_mono_ms (s->o.clock);

  c->due_ms = now + backoff_ms (c);
  if (c->due_ms < s->hold_ms)
    c->due_ms = s->hold_ms + wy_rng_below (&s->rng, LIMIT_WAIT_MS);
  if (s->outage.down || c->due_ms >= c->deadline_ms
      || wy_retry_take (&s->retries))
    {
      wy_store_call_finish (c, wy_store_call_failed (c));
      return;
    }
  if (s->retried)
    ++*s->retried;
  g_queue_push_tail_link (&s->waiting, &c->link);
  wy_store_wake (s);
}

static void
begin_outage (struct wy_store *s)
{
  wy_trace_event (s->o.trace, "store.outage", NULL);
  if (s->outages)
    ++*s->outages;
  wy_store_wake (s);
}

static void
note_answer (struct wy_store_call *c, int err)
{
  struct wy_store *s = c->store;
  int64_t now = wy_clock_mono_ms (s->o.clock);

  if (err || c->status >= STATUS_DOWN)
    {
      if (wy_outage_failed (&s->outage, &s->rng,
                            c->kind == WY_STORE_CALL_PROBE, now))
        begin_outage (s);
      return;
    }
  if (wy_outage_answered (&s->outage))
    wy_trace_event (s->o.trace, "store.back", NULL);
  if (c->status == STATUS_LIMIT)
    s->hold_ms = now + (c->retry_after_ms ? c->retry_after_ms : LIMIT_WAIT_MS);
}

static void
on_end (void *ctx, int err)
{
  struct wy_store_call *c = ctx;
  struct wy_store *s = c->store;

  c->http = NULL;
  g_queue_unlink (&s->flying, &c->link);
  note_answer (c, err);
  wy_store_wake (s);
  if (c->kind == WY_STORE_CALL_PROBE)
    {
      wy_store_call_free (c);
      return;
    }
  if (definite (c, err))
    {
      wy_store_call_give (c);
      wy_store_call_free (c);
      return;
    }
  if (err && err != WY_HTTP_ECONNECT)
    c->uncertain = c->kind == WY_STORE_CALL_TXN;
  if (!err && c->status != STATUS_LIMIT && c->status < STATUS_DOWN)
    {
      wy_store_call_finish (c, WY_STORE_EANSWER);
      return;
    }
  again (c);
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
  g_string_append_len (((struct wy_store_call *)ctx)->answer, p, (gssize)n);
}

/* Make one attempt at C, which is in no queue.  */
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
  g_string_truncate (c->answer, 0);
  g_queue_push_tail_link (&s->flying, &c->link);
  c->http = wy_http_call_start (s->http, &o);
}

/* Give the caller ERR and free C, which is in no queue.  */
void
wy_store_call_finish (struct wy_store_call *c, int err)
{
  struct wy_store_result r
      = { .err = err, .retry_after_ms = wy_store_retry_after_ms (c->store) };

  c->on_done (c->ctx, &r);
  wy_store_call_free (c);
}

/* Free C, which is in no queue.  */
void
wy_store_call_free (struct wy_store_call *c)
{
  if (c->http)
    wy_http_call_cancel (c->http);
  g_free (c->op);
  g_free (c->path);
  g_string_free (c->body, TRUE);
  g_string_free (c->answer, TRUE);
  g_free (c);
}
