/* Runs at a model engine.

   The engine's event stream is passed on as it comes.  A stream that breaks
   off is a crash: the engine died, or all that is known of it is lost.  */
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

/* Tell whether the body of S is a JSON object, which an engine wants.  */
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
  wy_agent_run_told (ctx);
}

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  struct wy_run *r = ctx;

  if (r->status == 0)
    wy_agent_run_head (r, status, headers, n);
}

/* The stream makes no sense any more.  What was passed on of it is true, the
   rest isn't to be had.  */
static void
spoiled (struct wy_run *r, int err)
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
  size_t before = r->out->len;
  int err;

  if (r->status != STATUS_OK)
    {
      wy_agent_run_output (r, p, n);
      return;
    }
  err = wy_tokens_feed (&r->tokens, p, n, r->out);
  r->n_tokens = r->tokens.n;
  wy_queue_progress (&r->agent->queue, &r->item, r->n_tokens,
                     wy_agent_now_ms (r->agent));
  wy_agent_run_grew (r, before);
  if (err)
    spoiled (r, err);
}

static void
take_segments (struct wy_run *r)
{
  const struct wy_tokens *t = &r->tokens;
  bool same_engine = !g_strcmp0 (r->target_inc, r->agent->target.incarnation);

  r->finish = g_strdup (t->finish);
  if (t->proven && same_engine)
    {
      r->segments = g_array_ref (t->segments);
      return;
    }
  /* The versions of this sample can't be proven: it must not be used.  */
  ++*r->agent->n.unproven;
  wy_log (WY_LOG_WARN, "run.unproven", "run=%s engine=%s", r->run,
          same_engine ? "same" : "changed");
}

static void
finish (struct wy_run *r)
{
  bool cancelled = !strcmp (r->tokens.finish, "cancelled");

  take_segments (r);
  wy_agent_run_end (r, cancelled ? WY_RUN_CANCELLED : WY_RUN_DONE, WY_RAN_YES);
}

/* The engine refused the run, or the stream has ended.  */
static void
on_end (void *ctx, int err)
{
  struct wy_run *r = ctx;

  r->call = NULL;
  if (r->tokens.exported)
    {
      /* Goes on when the queue says so, see wy_agent_model_import.  */
      r->tokens.exported = false;
      return;
    }
  if (!err && r->status && r->status != STATUS_OK)
    wy_agent_run_end (r, WY_RUN_FAILED, WY_RAN_UNKNOWN);
  else if (r->tokens.done)
    finish (r);
  else if (err == WY_HTTP_ECONNECT && !r->told)
    {
      struct wy_agent *a = r->agent;

      wy_agent_run_refuse (r, WY_REFUSED_BUSY, WY_AGENT_RETRY_MS);
      wy_agent_target_doubt (a);
    }
  else
    wy_agent_model_lost (r);
}

/* The engine died while it ran R, or is gone for R.  */
void
wy_agent_model_lost (struct wy_run *r)
{
  struct wy_agent *a = r->agent;

  if (r->call)
    wy_http_call_cancel (r->call);
  r->call = NULL;
  wy_agent_run_end (r, WY_RUN_CRASHED, WY_RAN_UNKNOWN);
  wy_agent_target_doubt (a);
}

static void
stream (struct wy_run *r, const char *path, json_t *body)
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

  r->heard_ms = wy_agent_now_ms (r->agent);
  r->call = wy_http_call_start (r->agent->client, &o);
  free (text);
  json_decref (body);
}

/* Hand R to the engine.  The run's identifier is the engine's request
   identifier, so that a request that is sent again after a crash or a cancel
   can't be taken for the one before.  */
void
wy_agent_model_start (struct wy_run *r)
{
  json_t *body
      = json_loadb ((const char *)r->body->data, r->body->len, 0, NULL);

  wy_tokens_init (&r->tokens, r->run);
  json_object_set_new (body, "request_id", json_string (r->run));
  json_object_set_new (body, "run", json_string (r->run));
  stream (r, "/v1/completions", body);
}

/* Let R stop generating; its KV memory stays.  */
void
wy_agent_model_pause (struct wy_run *r)
{
  ++*r->agent->n.paused;
  wy_trace_event (r->agent->trace, "run.paused", "{s:s}", "run", r->run);
  wy_agent_control (r, "/control/pause");
}

/* Let R generate again.  */
void
wy_agent_model_resume (struct wy_run *r)
{
  r->heard_ms = wy_agent_now_ms (r->agent);
  wy_trace_event (r->agent->trace, "run.resumed", "{s:s}", "run", r->run);
  wy_agent_control (r, "/control/resume");
}

/* Tell the engine that nobody wants R.  */
void
wy_agent_model_cancel (struct wy_run *r)
{
  wy_agent_control (r, "/control/cancel");
}

static void
on_exported (struct wy_run *r, const char *blob)
{
  r->moving = false;
  if (r->phase == WY_PHASE_ENDED)
    return;
  if (!blob)
    {
      /* Ended in the same moment, or the engine is gone: its stream
         tells.  A stream that ended by the export alone is lost.  */
      if (!r->call)
        wy_agent_model_lost (r);
      return;
    }
  g_free (r->blob);
  r->blob = g_strdup (blob);
  if (!r->start_after_move)
    return;
  r->start_after_move = false;
  wy_agent_model_import (r);
}

/* Take the KV memory of R out of the engine; it goes on by an import.  */
void
wy_agent_model_export (struct wy_run *r)
{
  ++*r->agent->n.moved;
  wy_trace_event (r->agent->trace, "run.paused", "{s:s}", "run", r->run);
  r->moving = true;
  wy_agent_control_export (r, on_exported);
}

/* Go on with R from its exported state, as soon as that is here.  */
void
wy_agent_model_import (struct wy_run *r)
{
  json_t *body;

  if (r->moving || !r->blob)
    {
      r->start_after_move = true;
      return;
    }
  body = json_pack ("{s:s, s:s}", "blob", r->blob, "request_id", r->run);
  g_clear_pointer (&r->blob, g_free);
  wy_trace_event (r->agent->trace, "run.resumed", "{s:s}", "run", r->run);
  stream (r, "/control/import", body);
}
