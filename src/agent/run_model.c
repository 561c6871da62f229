/* Runs on a model engine.

   The engine's event stream is forwarded as it arrives.  A stream that breaks
   off counts as a crash: either the engine failed or its state of the run is
   lost.  */
#include "agent/run_model.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "agent/control.h"
#include "agent/run.h"
#include "agent/target.h"
#include "http/error.h"
#include "trace/log.h"

enum
{
  STATUS_OK = 200
};

/* Whether the body of S is a JSON object, as engines require.  */
bool
wy_agent_model_check (const struct wy_frame_submit *s)
{
  json_t *body = json_loadb (s->body.p, s->body.n, 0, NULL);
  bool ok = json_is_object (body);

  json_decref (body);
  return ok;
}

static void
on_sending (void *ctx)
{
  wy_agent_run_sent (ctx);
}

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  struct wy_run *r = ctx;

  if (r->status == 0)
    wy_agent_run_head (r, status, headers, n);
}

/* End R after a malformed event.  What was forwarded so far is valid; the rest
   is lost.  */
static void
fail_malformed (struct wy_run *r, int err)
{
  wy_log (WY_LOG_WARN, "run.spoiled", "run=%s err=%d tokens=%u", r->run, err,
          r->tokens.n);
  wy_http_call_cancel (r->call);
  r->call = NULL;
  wy_agent_model_cancel (r);
  wy_agent_run_end (r, WY_RUN_FAILED, WY_RAN_UNKNOWN);
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  struct wy_run *r = ctx;
  size_t before = r->output->len;
  int err;

  if (r->status != STATUS_OK)
    {
      wy_agent_run_output (r, p, n);
      return;
    }
  err = wy_token_stream_feed (&r->tokens, p, n, r->output);
  r->n_tokens = r->tokens.n;
  wy_queue_progress (&r->agent->queue, &r->item, r->n_tokens,
                     wy_agent_now_ms (r->agent));
  wy_agent_run_output_grew (r, before);
  if (err)
    fail_malformed (r, err);
}

static void
set_segments (struct wy_run *r)
{
  const struct wy_token_stream *t = &r->tokens;
  bool same_engine = !g_strcmp0 (r->target_inc, r->agent->target.incarnation);

  r->finish = g_strdup (t->finish);
  if (t->proven && same_engine)
    {
      r->segments = g_array_ref (t->segments);
      return;
    }
  /* The weight versions of this sample aren't proven, so it must not be
     used.  */
  ++*r->agent->n.unproven;
  wy_log (WY_LOG_WARN, "run.unproven", "run=%s engine=%s", r->run,
          same_engine ? "same" : "changed");
}

static void
finish (struct wy_run *r)
{
  bool cancelled = !strcmp (r->tokens.finish, "cancelled");

  set_segments (r);
  wy_agent_run_end (r, cancelled ? WY_RUN_CANCELLED : WY_RUN_DONE, WY_RAN_YES);
}

/* The engine rejected the run, or its event stream has ended.  */
static void
on_end (void *ctx, int err)
{
  struct wy_run *r = ctx;

  r->call = NULL;
  if (r->tokens.exported)
    {
      /* Resumed by the queue, see wy_agent_model_import.  */
      r->tokens.exported = false;
      return;
    }
  if (!err && r->status && r->status != STATUS_OK)
    wy_agent_run_end (r, WY_RUN_FAILED, WY_RAN_UNKNOWN);
  else if (r->tokens.done)
    finish (r);
  else if (err == WY_HTTP_ECONNECT && !r->sent)
    {
      struct wy_agent *a = r->agent;

      wy_agent_run_reject (r, WY_REFUSED_BUSY, WY_AGENT_RETRY_MS);
      wy_agent_target_recheck (a);
    }
  else
    wy_agent_model_crashed (r);
}

/* End R as crashed: the engine failed while it ran R, or lost its state.  */
void
wy_agent_model_crashed (struct wy_run *r)
{
  struct wy_agent *a = r->agent;

  if (r->call)
    wy_http_call_cancel (r->call);
  r->call = NULL;
  wy_agent_run_end (r, WY_RUN_CRASHED, WY_RAN_UNKNOWN);
  wy_agent_target_recheck (a);
}

static void
start_stream (struct wy_run *r, const char *path, json_t *body)
{
  const struct wy_agent_settings *s = r->agent->s;
  char *text = json_dumps (body, JSON_COMPACT);
  struct wy_http_header_field type = { "content-type", "application/json" };
  struct wy_http_call_options o = { .method = "POST",
                                    .host = s->target_host,
                                    .port = (uint16_t)s->target_port,
                                    .path = path,
                                    .headers = &type,
                                    .n_headers = 1,
                                    .body = text,
                                    .body_size_bytes = strlen (text),
                                    .on_sending = on_sending,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .ctx = r };

  r->last_received_ms = wy_agent_now_ms (r->agent);
  r->call = wy_http_call_start (r->agent->client, &o);
  free (text);
  json_decref (body);
}

/* Send R to the engine.  The run identifier is used as the engine's request
   identifier, so that a request sent again after a crash or a cancellation
   isn't mistaken for the earlier run.  */
void
wy_agent_model_start (struct wy_run *r)
{
  json_t *body
      = json_loadb ((const char *)r->body->data, r->body->len, 0, NULL);

  wy_token_stream_init (&r->tokens, r->run);
  json_object_set_new (body, "request_id", json_string (r->run));
  json_object_set_new (body, "run", json_string (r->run));
  start_stream (r, "/v1/completions", body);
}

/* Pause R.  Its KV memory stays in the engine.  */
void
wy_agent_model_pause (struct wy_run *r)
{
  ++*r->agent->n.paused;
  wy_trace_event (r->agent->trace, "run.paused", "{s:s}", "run", r->run);
  wy_agent_control (r, "/control/pause");
}

/* Resume R after a pause.  */
void
wy_agent_model_resume (struct wy_run *r)
{
  r->last_received_ms = wy_agent_now_ms (r->agent);
  wy_trace_event (r->agent->trace, "run.resumed", "{s:s}", "run", r->run);
  wy_agent_control (r, "/control/resume");
}

/* Cancel R on the engine.  */
void
wy_agent_model_cancel (struct wy_run *r)
{
  wy_agent_control (r, "/control/cancel");
}

static void
on_exported (struct wy_run *r, const char *blob)
{
  r->exporting = false;
  if (r->phase == WY_PHASE_ENDED)
    return;
  if (!blob)
    {
      /* R ended at the same moment or the engine has failed; its stream shows
         which.  If the stream has already ended because of the export, R is
         lost.  */
      if (!r->call)
        wy_agent_model_crashed (r);
      return;
    }
  g_free (r->blob);
  r->blob = g_strdup (blob);
  if (!r->import_after_export)
    return;
  r->import_after_export = false;
  wy_agent_model_import (r);
}

/* Export R from the engine, which frees its KV memory.  It is resumed by
   wy_agent_model_import.  */
void
wy_agent_model_export (struct wy_run *r)
{
  ++*r->agent->n.moved;
  wy_trace_event (r->agent->trace, "run.paused", "{s:s}", "run", r->run);
  r->exporting = true;
  wy_agent_control_export (r, on_exported);
}

/* Resume R from its exported state, as soon as that has arrived.  */
void
wy_agent_model_import (struct wy_run *r)
{
  json_t *body;

  if (r->exporting || !r->blob)
    {
      r->import_after_export = true;
      return;
    }
  body = json_pack ("{s:s, s:s}", "blob", r->blob, "request_id", r->run);
  g_clear_pointer (&r->blob, g_free);
  wy_trace_event (r->agent->trace, "run.resumed", "{s:s}", "run", r->run);
  start_stream (r, "/control/import", body);
}
