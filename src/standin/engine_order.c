/* Orders to the engine stand-in: stage a version of the weights, activate it.
 */
#include <stdlib.h>
#include <string.h>

#include "standin/engine.h"

enum
{
  RETRY_MS = 100,
  FETCH_TIMEOUT_MS = 5000,
  FAILURES_MAX = 100 /* about ten seconds of failing calls */
};

static void fetch_next (struct wy_engine *e);

static json_t *
versions_json (const struct wy_engine *e)
{
  return json_pack ("{s:I, s:I}", "version", (json_int_t)e->batch.version,
                    "staged", (json_int_t)e->staged);
}

/* End the staging in progress and respond to the calls that wait for it.  */
static void
finish_staging (struct wy_engine *e, bool ok)
{
  struct wy_engine_stage *g = &e->stage;

  if (ok)
    e->staged = g->version;
  g->version = 0;
  g_clear_pointer (&g->host, g_free);
  for (guint i = 0; i < g->calls->len; i++)
    wy_standin_respond_json (
        g->calls->pdata[i], ok ? 200 : 500,
        ok ? versions_json (e) : json_pack ("{s:s}", "error", "stage failed"));
  g_ptr_array_set_size (g->calls, 0);
}

static void
on_retry (uv_timer_t *t)
{
  fetch_next (t->data);
}

static void
fetch_failed (struct wy_engine *e, int status)
{
  if (status == 404 || ++e->stage.failures > FAILURES_MAX)
    finish_staging (e, false);
  else
    uv_timer_start (&e->stage.timer, on_retry, RETRY_MS, 0);
}

static void
on_fetched (void *ctx, const struct wy_http_response *r)
{
  struct wy_engine *e = ctx;
  struct wy_engine_stage *g = &e->stage;
  json_t *size;

  if (r->err || r->status != 200)
    {
      fetch_failed (e, r->err ? 0 : r->status);
      return;
    }
  if (g->size_bytes < 0)
    {
      size = json_loadb (r->body, r->size_bytes, 0, NULL);
      g->size_bytes
          = json_integer_value (json_object_get (size, "size_bytes"));
      json_decref (size);
    }
  else if (r->size_bytes > 0)
    g->offset += (int64_t)r->size_bytes;
  else
    {
      fetch_failed (e, 0);
      return;
    }
  if (g->offset >= g->size_bytes)
    finish_staging (e, true);
  else
    fetch_next (e);
}

/* Fetch the size if it is not known yet, else the next chunk.  */
static void
fetch_next (struct wy_engine *e)
{
  struct wy_engine_stage *g = &e->stage;
  char *path;
  struct wy_http_call_options o = { .method = "GET",
                                    .host = g->host,
                                    .port = g->port,
                                    .timeout_ms = FETCH_TIMEOUT_MS };

  if (g->size_bytes < 0)
    path = g_strdup_printf ("/weights/%s/%" G_GINT64_FORMAT "/size",
                            e->o->model, g->version);
  else
    path = g_strdup_printf (
        "/weights/%s/%" G_GINT64_FORMAT "?offset=%" G_GINT64_FORMAT
        "&size=%" G_GINT64_FORMAT,
        e->o->model, g->version, g->offset, e->o->chunk_size_bytes);
  o.path = path;
  wy_http_fetch (e->standin->client, &o, on_fetched, e);
  g_free (path);
}

/* Fetch VERSION from SOURCE ("HOST:PORT"), or from the weight store if SOURCE
   is NULL or empty, and respond to C when it is complete.  */
void
wy_engine_stage_start (struct wy_engine *e, struct wy_standin_call *c,
                       int64_t version, const char *source)
{
  struct wy_engine_stage *g = &e->stage;

  if (version == e->staged || version == e->batch.version)
    {
      wy_standin_respond_json (c, 200, versions_json (e));
      return;
    }
  if (g->version && g->version != version)
    {
      wy_standin_respond_json (c, 500, json_pack ("{s:s}", "error", "busy"));
      return;
    }
  g_ptr_array_add (g->calls, c);
  if (g->version)
    return;
  g->version = version;
  g->size_bytes = -1;
  g->offset = 0;
  g->failures = 0;
  if (wy_standin_parse_address (source && *source ? source : e->o->weights,
                                &g->host, &g->port))
    fetch_next (e);
  else
    finish_staging (e, true); /* without a store, nothing needs fetching */
}

static void
on_activated (uv_timer_t *t)
{
  struct wy_engine *e = t->data;
  struct wy_standin_call *c = e->activation_call;
  int64_t version = e->activating_version;
  struct wy_standin_fault *f
      = wy_standin_active_fault (e->standin, WY_FAULT_FAIL_LOAD);

  e->activating_version = 0;
  if (f)
    {
      f->value -= 1;
      f->on = f->value >= 1;
      wy_standin_respond_json (c, 500,
                               json_pack ("{s:s}", "error", "load failed"));
      return;
    }
  wy_engine_batch_swap (&e->batch, version, wy_engine_now_us (e));
  wy_trace_event (e->standin->trace, "engine.version", "{s:I}", "version",
                  (json_int_t)version);
  wy_standin_respond_json (c, 200, versions_json (e));
}

static void
activate (struct wy_engine *e, struct wy_standin_call *c, int64_t version)
{
  const char *error = NULL;

  if (version == e->batch.version)
    {
      wy_standin_respond_json (c, 200, versions_json (e));
      return;
    }
  if (e->activating_version)
    error = "busy";
  else if (version != e->staged)
    error = "not staged";
  if (error)
    {
      wy_standin_respond_json (c, 500, json_pack ("{s:s}", "error", error));
      return;
    }
  e->activating_version = version;
  e->activation_call = c;
  wy_engine_batch_stall (&e->batch, wy_engine_now_us (e)
                                        + e->o->activate_ms * WY_US_PER_MS);
  uv_timer_start (&e->activate_timer, on_activated,
                  (uint64_t)e->o->activate_ms, 0);
}

/* Initialise the timers and the staging state of E.  */
void
wy_engine_order_init (struct wy_engine *e)
{
  uv_timer_init (e->standin->loop, &e->stage.timer);
  e->stage.timer.data = e;
  e->stage.calls = g_ptr_array_new ();
  uv_timer_init (e->standin->loop, &e->activate_timer);
  e->activate_timer.data = e;
}

/* Handle POST /control/order.  */
void
wy_engine_handle_order (struct wy_engine *e, struct wy_standin_call *c)
{
  json_t *body = wy_standin_body_json (c);
  const char *order = json_string_value (json_object_get (body, "order"));
  const char *model = json_string_value (json_object_get (body, "model"));
  const char *source = json_string_value (json_object_get (body, "source"));
  int64_t version = json_integer_value (json_object_get (body, "version"));
  int64_t fence = json_integer_value (json_object_get (body, "fence"));

  if (e->o->check_fence && fence < e->fence)
    wy_standin_respond_json (c, 409,
                             json_pack ("{s:s, s:I}", "error", "fence",
                                        "highest", (json_int_t)e->fence));
  else if (!order || !model || strcmp (model, e->o->model) != 0
           || version <= 0)
    wy_standin_respond_json (c, 400,
                             json_pack ("{s:s}", "error", "wrong order"));
  else
    {
      e->fence = MAX (e->fence, fence);
      if (!strcmp (order, "stage"))
        wy_engine_stage_start (e, c, version, source);
      else if (!strcmp (order, "activate"))
        activate (e, c, version);
      else
        wy_standin_respond_json (
            c, 400, json_pack ("{s:s}", "error", "unknown order"));
    }
  json_decref (body);
}
