/* Stand-in of a model engine: continuous batching driven by a timer, control
   calls and delayed load reports.  */
#include "standin/engine.h"

#include <stddef.h>
#include <string.h>

#include "standin/kinds.h"

static void on_step_timer (uv_timer_t *t);

/* Return the monotonic time in microseconds.  */
int64_t
wy_engine_now_us (const struct wy_engine *e)
{
  return wy_clock_mono_us (e->standin->clock);
}

/* Run the steps that are due and set the timer for the next one.  */
void
wy_engine_run_due_steps (struct wy_engine *e)
{
  struct wy_standin_fault *slow
      = wy_standin_active_fault (e->standin, WY_FAULT_SLOW);
  int64_t slow_us = slow ? (int64_t)(slow->value * WY_US_PER_MS) : 0;
  int64_t now_us = wy_engine_now_us (e);
  int64_t next_us = wy_engine_batch_advance (&e->batch, now_us, slow_us);
  uint64_t wait_us;

  if (next_us == 0)
    return;
  uv_update_time (e->standin->loop);
  /* Rounded up: a timer that fires early would only spin.  A step starts at
     the computed end of the previous one, so rounding does not lower the
     token rate.  */
  wait_us = (uint64_t)MAX (next_us - now_us, 0);
  uv_timer_start (&e->step_timer, on_step_timer,
                  (wait_us + WY_US_PER_MS - 1) / WY_US_PER_MS, 0);
}

static void
on_step_timer (uv_timer_t *t)
{
  wy_engine_run_due_steps (t->data);
}

static void
update_load_report (uv_timer_t *t)
{
  struct wy_engine *e = t->data;
  const GQueue *q = e->batch.queue;

  json_decref (e->load);
  e->load = json_pack (
      "{s:s, s:i, s:i, s:i, s:i, s:i, s:I, s:I, s:I}", "incarnation",
      wy_trace_incarnation (e->standin->trace), "running",
      (int)q[WY_ENGINE_RUNNING].length, "waiting",
      (int)q[WY_ENGINE_WAITING].length, "paused",
      (int)q[WY_ENGINE_PAUSED].length, "kv_used", (int)e->batch.kv_used,
      "kv_total", (int)e->batch.o.kv_total, "version",
      (json_int_t)e->batch.version, "staged", (json_int_t)e->staged,
      "as_of_ms", (json_int_t)wy_clock_wall_ms (e->standin->clock));
}

static void
on_request (struct wy_standin *s, struct wy_standin_call *c)
{
  struct wy_engine *e = s->state;

  if (wy_standin_matches (c, "POST", "/v1/completions"))
    wy_engine_start_completion (e, c);
  else if (wy_standin_matches (c, "POST", "/control/cancel"))
    wy_engine_cancel (e, c);
  else if (wy_standin_matches (c, "POST", "/control/pause"))
    wy_engine_pause (e, c, false);
  else if (wy_standin_matches (c, "POST", "/control/resume"))
    wy_engine_pause (e, c, true);
  else if (wy_standin_matches (c, "POST", "/control/export"))
    wy_engine_export (e, c);
  else if (wy_standin_matches (c, "POST", "/control/import"))
    wy_engine_import (e, c);
  else if (wy_standin_matches (c, "POST", "/control/order"))
    wy_engine_handle_order (e, c);
  else if (wy_standin_matches (c, "GET", "/control/load"))
    wy_standin_respond_json (c, 200, json_incref (e->load));
  else if (wy_standin_matches (c, "GET", "/control/cache-events"))
    wy_standin_respond_json (
        c, 200,
        wy_engine_cache_events (&e->batch.cache,
                                wy_standin_query_number (c, "after", 0),
                                wy_engine_now_us (e) / WY_US_PER_MS));
  else
    wy_standin_respond_json (c, 404, NULL);
}

static void
init_batch (struct wy_engine *e)
{
  const struct wy_engine_settings *o = e->o;
  struct wy_engine_batch_options b
      = { .token_base_us = (uint32_t)o->token_base_us,
          .token_per_stream_us = (uint32_t)o->token_per_stream_us,
          .prefill_token_us = (uint32_t)o->prefill_token_us,
          .batch_max = (uint32_t)o->batch_max,
          .kv_total = (uint32_t)o->kv_total,
          .time_scale = o->time_scale,
          .cache = { o->cache_lag_ms, o->cache_gap_share,
                     wy_rng_u64 (&e->standin->rng) },
          .on_token = wy_engine_on_token,
          .on_done = wy_engine_on_done,
          .ctx = e };

  wy_engine_batch_init (&e->batch, &b);
  e->batch.version = o->initial_version;
}

static int
start (struct wy_standin *s)
{
  struct wy_engine *e = g_new0 (struct wy_engine, 1);

  s->state = e;
  e->standin = s;
  e->o = s->settings;
  e->streams = g_hash_table_new (g_str_hash, g_str_equal);
  /* Not the seed alone, as a restarted engine must not repeat its nonces.  */
  wy_rng_seed (&e->rng, wy_rng_u64 (&s->rng) ^ (uint64_t)uv_hrtime ());
  init_batch (e);
  wy_engine_order_init (e);
  uv_timer_init (s->loop, &e->step_timer);
  e->step_timer.data = e;
  uv_timer_init (s->loop, &e->load_timer);
  e->load_timer.data = e;
  update_load_report (&e->load_timer);
  uv_timer_start (&e->load_timer, update_load_report,
                  (uint64_t)e->o->load_lag_ms, (uint64_t)e->o->load_lag_ms);
  if (e->batch.version)
    wy_trace_event (s->trace, "engine.version", "{s:I}", "version",
                    (json_int_t)e->batch.version);
  return 0;
}

const struct wy_standin_kind wy_standin_engine
    = { .name = "engine",
        .summary = "a model engine with continuous batching",
        .table = wy_engine_table,
        .n = WY_ENGINE_SETTINGS,
        .settings_size_bytes = sizeof (struct wy_engine_settings),
        .start = start,
        .on_request = on_request };
