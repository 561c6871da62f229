/* Callers: each sends one request after the other.  A request that times out,
   loses its connection or is refused is sent again through the next entry,
   with the same key.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/callers.h"
#include "standin/kinds.h"

enum
{
  STOP_LIMIT_MS = 8000 /* what is still open then counts as unknown */
};

static void begin (uv_timer_t *t);
static void attempt (struct wy_errand *e);

static int64_t
now_us (const struct wy_errand *e)
{
  return wy_clock_mono_us (e->callers->standin->clock);
}

static void
rest (struct wy_errand *e)
{
  struct wy_callers *c = e->callers;
  int64_t mean_ms = c->o->think_ms;

  uv_timer_start (
      &e->timer, begin,
      (uint64_t)((double)mean_ms * 2 * wy_rng_unit (&c->standin->rng)), 0);
}

static void
quit (struct wy_callers *c)
{
  wy_callers_books_write (&c->books, c->o);
  wy_standin_quit (c->standin);
}

/* The request of E is over.  */
void
wy_errand_end (struct wy_errand *e, enum wy_errand_end how)
{
  static const char *const names[WY_ERRAND_ENDS]
      = { "answered", "no", "unknown", "failed" };
  struct wy_callers *c = e->callers;

  c->books.ends[e->kind][how]++;
  if (how == WY_ERRAND_ANSWERED)
    wy_hist_add (&c->books.latency_us[e->kind],
                 (uint64_t)(now_us (e) - e->began_us));
  if (e->kind == WY_ERRAND_FILING)
    json_object_set_new (c->books.filings, e->key, json_string (names[how]));
  c->open--;
  if (!c->standin->stopping)
    rest (e);
  else if (c->open == 0)
    quit (c);
}

static void
on_again (uv_timer_t *t)
{
  attempt (t->data);
}

/* Send it again through the next entry, or give up with HOW.  */
void
wy_errand_again (struct wy_errand *e, int64_t after_ms, enum wy_errand_end how)
{
  if (e->tries >= e->callers->o->tries)
    {
      wy_errand_end (e, how);
      return;
    }
  e->callers->books.resent++;
  wy_entries_next (&e->entries);
  uv_timer_start (&e->timer, on_again, (uint64_t)after_ms, 0);
}

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  struct wy_errand *e = ctx;

  e->status = status;
  for (size_t i = 0; i < n; i++)
    if (!g_ascii_strcasecmp (headers[i].name, "waxwing-request-id"))
      {
        g_free (e->request);
        e->request = g_strdup (headers[i].value);
      }
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  struct wy_errand *e = ctx;

  if (e->kind == WY_ERRAND_STREAM && !e->has_data && e->status == 200)
    wy_hist_add (&e->callers->books.first_us,
                 (uint64_t)(now_us (e) - e->began_us));
  e->has_data = true;
  g_string_append_len (e->body, p, (gssize)n);
}

static json_t *
body_of (const struct wy_errand *e)
{
  const struct wy_callers_settings *o = e->callers->o;

  if (e->kind == WY_ERRAND_FILING)
    return json_pack ("{s:s, s:s}", "key", e->key, "value", e->prompt);
  return json_pack ("{s:s, s:s, s:I, s:b, s:s}", "model", o->model, "prompt",
                    e->prompt, "max_tokens", (json_int_t)o->max_tokens,
                    "stream", e->kind == WY_ERRAND_STREAM, "request_id",
                    e->key);
}

static char *
path_of (const struct wy_errand *e)
{
  if (e->asking)
    return g_strdup_printf ("/v1/requests/%s:%s", e->callers->o->service,
                            e->key);
  if (e->kind == WY_ERRAND_FILING)
    return g_strdup_printf ("/services/%s/filings", e->callers->o->service);
  return g_strdup ("/v1/completions");
}

/* Send the request of E, or the question for its outcome.  */
static void
attempt (struct wy_errand *e)
{
  json_t *body = e->asking ? NULL : body_of (e);
  char *text = body ? json_dumps (body, JSON_COMPACT) : g_strdup ("");
  char *path = path_of (e);
  struct wy_http_header_field headers[]
      = { { "content-type", "application/json" },
          { "idempotency-key", e->key },
          { "waxwing-idempotent", "no" } };
  struct wy_http_call_options o
      = { .method = e->asking ? "GET" : "POST",
          .path = path,
          .headers = headers,
          .n_headers = e->kind == WY_ERRAND_FILING ? 3 : 1,
          .body = text,
          .body_size_bytes = strlen (text),
          .timeout_ms = (uint32_t)e->callers->o->timeout_ms,
          .on_head = on_head,
          .on_data = on_data,
          .on_end = wy_errand_on_end,
          .ctx = e };

  e->tries++;
  e->status = 0;
  e->has_data = false;
  g_string_truncate (e->body, 0);
  wy_entries_target (&e->entries, &o);
  wy_http_call_start (e->callers->standin->client, &o);
  json_decref (body);
  g_free (text);
  g_free (path);
}

/* Begin a new request of the caller of T.  */
static void
begin (uv_timer_t *t)
{
  struct wy_errand *e = t->data;
  struct wy_callers *c = e->callers;
  struct wy_rng *rng = &c->standin->rng;

  if (c->standin->stopping)
    return;
  c->open++;
  wy_id_new (c->standin->clock, e->key);
  g_free (e->request);
  e->request = g_strdup ("");
  g_free (e->prompt);
  e->prompt = g_strdup_printf (
      "Office %u: gauge reading %" G_GINT64_FORMAT
      " at the north wall; which foundation comes first?",
      wy_rng_below (rng, (uint32_t)c->o->prompts), ++c->serial);
  e->tries = 0;
  e->asking = false;
  e->began_us = now_us (e);
  wy_trace_event (c->standin->trace, "caller.sent", "{s:s, s:s}", "req", "",
                  "key", e->key);
  attempt (e);
}

static int
add (struct wy_callers *c, enum wy_errand_kind kind, int64_t n)
{
  for (int64_t i = 0; i < n; i++)
    {
      struct wy_errand *e = g_new0 (struct wy_errand, 1);

      e->callers = c;
      e->kind = kind;
      e->body = g_string_new (NULL);
      if (wy_entries_init (&e->entries, c->o->entries))
        return -1;
      e->entries.at = wy_rng_below (&c->standin->rng, e->entries.hosts->len);
      uv_timer_init (c->standin->loop, &e->timer);
      e->timer.data = e;
      rest (e);
    }
  return 0;
}

static int
start (struct wy_standin *s)
{
  struct wy_callers *c = g_new0 (struct wy_callers, 1);

  s->state = c;
  c->standin = s;
  c->o = s->settings;
  wy_callers_books_init (&c->books);
  uv_timer_init (s->loop, &c->stop_timer);
  c->stop_timer.data = c;
  return add (c, WY_ERRAND_WHOLE, c->o->whole)
         || add (c, WY_ERRAND_STREAM, c->o->stream)
         || add (c, WY_ERRAND_FILING, c->o->filings);
}

static void
on_stop_limit (uv_timer_t *t)
{
  quit (t->data);
}

/* Wait for the requests in progress.  */
static void
on_stop (struct wy_standin *s)
{
  struct wy_callers *c = s->state;

  if (c->open == 0)
    quit (c);
  else
    uv_timer_start (&c->stop_timer, on_stop_limit, STOP_LIMIT_MS, 0);
}

const struct wy_standin_kind wy_standin_callers
    = { .name = "callers",
        .summary = "callers with interactive requests and filings",
        .table = wy_callers_table,
        .n = WY_CALLERS_SETTINGS,
        .settings_size_bytes = sizeof (struct wy_callers_settings),
        .start = start,
        .on_stop = on_stop };
