/* Simulated callers, each of which sends one request at a time.  A request
   that times out, loses its connection or is rejected is retried through the
   next entry with the same idempotency key.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/callers.h"
#include "standin/kinds.h"

enum
{
  STOP_TIMEOUT_MS = 8000 /* outcome of requests open then: unknown */
};

static void begin_request (uv_timer_t *t);
static void send_attempt (struct wy_caller *caller);

static int64_t
now_us (const struct wy_caller *caller)
{
  return wy_clock_mono_us (caller->callers->standin->clock);
}

static void
schedule_next (struct wy_caller *caller)
{
  struct wy_callers *c = caller->callers;
  int64_t mean_ms = c->o->think_ms;

  uv_timer_start (
      &caller->timer, begin_request,
      (uint64_t)((double)mean_ms * 2 * wy_rng_unit (&c->standin->rng)), 0);
}

static void
quit (struct wy_callers *c)
{
  wy_callers_report_write (&c->stats, c->o);
  wy_standin_quit (c->standin);
}

/* Record the OUTCOME of the request of CALLER and schedule its next one.  */
void
wy_caller_finish (struct wy_caller *caller, enum wy_caller_outcome outcome)
{
  static const char *const outcome_names[WY_CALLER_OUTCOMES]
      = { "answered", "no", "unknown", "failed" };
  struct wy_callers *c = caller->callers;

  c->stats.outcomes[caller->kind][outcome]++;
  if (outcome == WY_CALLER_OUTCOME_OK)
    wy_hist_add (&c->stats.latency_us[caller->kind],
                 (uint64_t)(now_us (caller) - caller->started_us));
  if (caller->kind == WY_CALLER_FILING)
    json_object_set_new (c->stats.filings, caller->key,
                         json_string (outcome_names[outcome]));
  c->open--;
  if (!c->standin->stopping)
    schedule_next (caller);
  else if (c->open == 0)
    quit (c);
}

static void
on_retry_timer (uv_timer_t *t)
{
  send_attempt (t->data);
}

/* Retry the request of CALLER through the next entry after AFTER_MS, or end
   it with OUTCOME if all attempts are used up.  */
void
wy_caller_retry (struct wy_caller *caller, int64_t after_ms,
                 enum wy_caller_outcome outcome)
{
  if (caller->tries >= caller->callers->o->tries)
    {
      wy_caller_finish (caller, outcome);
      return;
    }
  caller->callers->stats.resent++;
  wy_entry_list_next (&caller->entries);
  uv_timer_start (&caller->timer, on_retry_timer, (uint64_t)after_ms, 0);
}

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  struct wy_caller *caller = ctx;

  caller->status = status;
  for (size_t i = 0; i < n; i++)
    if (!g_ascii_strcasecmp (headers[i].name, "waxwing-request-id"))
      {
        g_free (caller->request);
        caller->request = g_strdup (headers[i].value);
      }
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  struct wy_caller *caller = ctx;

  if (caller->kind == WY_CALLER_STREAM && !caller->has_data
      && caller->status == 200)
    wy_hist_add (&caller->callers->stats.first_token_us,
                 (uint64_t)(now_us (caller) - caller->started_us));
  caller->has_data = true;
  g_string_append_len (caller->body, p, (gssize)n);
}

static json_t *
request_body (const struct wy_caller *caller)
{
  const struct wy_callers_settings *o = caller->callers->o;

  if (caller->kind == WY_CALLER_FILING)
    return json_pack ("{s:s, s:s}", "key", caller->key, "value",
                      caller->prompt);
  return json_pack ("{s:s, s:s, s:I, s:b, s:s}", "model", o->model, "prompt",
                    caller->prompt, "max_tokens", (json_int_t)o->max_tokens,
                    "stream", caller->kind == WY_CALLER_STREAM, "request_id",
                    caller->key);
}

static char *
request_path (const struct wy_caller *caller)
{
  if (caller->asking_outcome)
    return g_strdup_printf ("/v1/requests/%s:%s", caller->callers->o->service,
                            caller->key);
  if (caller->kind == WY_CALLER_FILING)
    return g_strdup_printf ("/services/%s/filings",
                            caller->callers->o->service);
  return g_strdup ("/v1/completions");
}

/* Send the request of CALLER, or the query for its outcome.  */
static void
send_attempt (struct wy_caller *caller)
{
  json_t *body = caller->asking_outcome ? NULL : request_body (caller);
  char *text = body ? json_dumps (body, JSON_COMPACT) : g_strdup ("");
  char *path = request_path (caller);
  struct wy_http_header_field headers[]
      = { { "content-type", "application/json" },
          { "idempotency-key", caller->key },
          { "waxwing-idempotent", "no" } };
  struct wy_http_call_options o
      = { .method = caller->asking_outcome ? "GET" : "POST",
          .path = path,
          .headers = headers,
          .n_headers = caller->kind == WY_CALLER_FILING ? 3 : 1,
          .body = text,
          .body_size_bytes = strlen (text),
          .timeout_ms = (uint32_t)caller->callers->o->timeout_ms,
          .on_head = on_head,
          .on_data = on_data,
          .on_end = wy_caller_on_call_end,
          .ctx = caller };

  caller->tries++;
  caller->status = 0;
  caller->has_data = false;
  g_string_truncate (caller->body, 0);
  wy_entry_list_set_target (&caller->entries, &o);
  wy_http_call_start (caller->callers->standin->client, &o);
  json_decref (body);
  g_free (text);
  g_free (path);
}

/* Begin a new request of the caller that owns the timer T.  */
static void
begin_request (uv_timer_t *t)
{
  struct wy_caller *caller = t->data;
  struct wy_callers *c = caller->callers;
  struct wy_rng *rng = &c->standin->rng;

  if (c->standin->stopping)
    return;
  c->open++;
  wy_id_new (c->standin->clock, caller->key);
  g_free (caller->request);
  caller->request = g_strdup ("");
  g_free (caller->prompt);
  caller->prompt = g_strdup_printf (
      "Office %u: gauge reading %" G_GINT64_FORMAT
      " at the north wall; which foundation comes first?",
      wy_rng_below (rng, (uint32_t)c->o->prompts), ++c->serial);
  caller->tries = 0;
  caller->asking_outcome = false;
  caller->started_us = now_us (caller);
  wy_trace_event (c->standin->trace, "caller.sent", "{s:s, s:s}", "req", "",
                  "key", caller->key);
  send_attempt (caller);
}

static int
add_callers (struct wy_callers *c, enum wy_caller_kind kind, int64_t n)
{
  for (int64_t i = 0; i < n; i++)
    {
      struct wy_caller *caller = g_new0 (struct wy_caller, 1);

      caller->callers = c;
      caller->kind = kind;
      caller->body = g_string_new (NULL);
      if (wy_entry_list_init (&caller->entries, c->o->entries))
        return -1;
      caller->entries.current
          = wy_rng_below (&c->standin->rng, caller->entries.hosts->len);
      uv_timer_init (c->standin->loop, &caller->timer);
      caller->timer.data = caller;
      schedule_next (caller);
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
  wy_callers_stats_init (&c->stats);
  uv_timer_init (s->loop, &c->stop_timer);
  c->stop_timer.data = c;
  return add_callers (c, WY_CALLER_COMPLETION, c->o->whole)
         || add_callers (c, WY_CALLER_STREAM, c->o->stream)
         || add_callers (c, WY_CALLER_FILING, c->o->filings);
}

static void
on_stop_timeout (uv_timer_t *t)
{
  quit (t->data);
}

/* Wait for the requests in progress, for STOP_TIMEOUT_MS at most.  */
static void
on_stop (struct wy_standin *s)
{
  struct wy_callers *c = s->state;

  if (c->open == 0)
    quit (c);
  else
    uv_timer_start (&c->stop_timer, on_stop_timeout, STOP_TIMEOUT_MS, 0);
}

const struct wy_standin_kind wy_standin_callers
    = { .name = "callers",
        .summary = "callers with interactive requests and filings",
        .table = wy_callers_table,
        .n = WY_CALLERS_SETTINGS,
        .settings_size_bytes = sizeof (struct wy_callers_settings),
        .start = start,
        .on_stop = on_stop };
