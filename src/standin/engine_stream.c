/* Streams of the engine stand-in: start, control calls and events.  */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/id.h"
#include "standin/engine.h"

enum
{
  MAX_TOKENS_DEFAULT = 256,
  NONCE_BITS = 32
};

#define TWO_PI 6.283185307179586

/* The call that a stream writes to.  */
struct output
{
  struct wy_engine *engine;
  struct wy_standin_call *call;
  char *run_json; /* escaped, with quotes */
};

static const char *
string_member (const json_t *body, const char *key)
{
  const char *v = json_string_value (json_object_get (body, key));

  return v ? v : "";
}

static void
respond_error (struct wy_standin_call *c, int status, const char *error)
{
  wy_standin_respond_json (c, status, json_pack ("{s:s}", "error", error));
}

/* Return the length in tokens of the completion of PROMPT without a limit:
   log-normal, with a small share of very long ones.  It is the same for the
   same PROMPT and SEED, so that a retried request takes as long as before.  */
static uint32_t
completion_length (const struct wy_engine *e, const char *prompt, int64_t seed)
{
  struct wy_rng r;
  double normal;
  double n;

  wy_rng_seed (&r, wy_hash64 (prompt, strlen (prompt), (uint64_t)seed)
                       ^ (uint64_t)e->o->common.seed);
  normal = sqrt (-2 * log (1 - wy_rng_unit (&r)))
           * cos (TWO_PI * wy_rng_unit (&r));
  n = (double)e->o->tokens_median * exp (e->o->tokens_sigma * normal);
  if (wy_rng_unit (&r) < e->o->tail_share)
    n *= (double)e->o->tail_factor;
  return (uint32_t)MAX (1, MIN (n, 1e6));
}

static void
write_event (struct wy_engine_stream *s, const char *text)
{
  struct output *out = s->ctx;

  wy_standin_stream_write (out->call, text, strlen (text));
}

/* Send the token just made.  The last one ends with a full stop, so that a
   reader can tell a complete text from a truncated one.  */
void
wy_engine_on_token (struct wy_engine_stream *s, void *ctx)
{
  struct wy_engine *e = ctx;
  struct output *out = s->ctx;
  char *text
      = g_strdup_printf ("data: {\"run\":%s,\"i\":%u,\"text\":\" %s:%u%s\","
                         "\"version\":%" G_GINT64_FORMAT "}\n\n",
                         out->run_json, s->next - 1, s->nonce, s->next - 1,
                         s->next == s->total ? "." : "", e->batch.version);

  write_event (s, text);
  g_free (text);
}

/* Send the final event of S, which has left the batch, and free it.  */
static void
end_stream (struct wy_engine *e, struct wy_engine_stream *s,
            const char *reason)
{
  struct output *out = s->ctx;
  json_t *segments = wy_engine_segments_json (s);
  json_t *last = json_pack ("{s:s, s:b, s:s, s:i, s:O}", "run", s->run, "done",
                            1, "finish", reason, "tokens", (int)s->next,
                            "segments", segments);
  char *json = json_dumps (last, JSON_COMPACT);
  char *text = g_strdup_printf ("data: %s\n\n", json);

  wy_trace_event (e->standin->trace, "engine.run", "{s:s, s:o, s:s}", "run",
                  s->run, "segments", segments, "finish", reason);
  write_event (s, text);
  g_free (text);
  free (json);
  json_decref (last);
  out->call->on_disconnect = NULL;
  wy_standin_stream_end (out->call);
  g_hash_table_remove (e->streams, s->request_id);
  wy_engine_stream_free (s);
  g_free (out->run_json);
  g_free (out);
}

/* Called by the batch when S has made its last token.  */
void
wy_engine_on_done (struct wy_engine_stream *s, void *ctx)
{
  end_stream (ctx, s, s->by_length ? "length" : "stop");
}

static void
stop_stream (struct wy_engine *e, struct wy_engine_stream *s,
             const char *reason)
{
  wy_engine_batch_remove (&e->batch, s);
  end_stream (e, s, reason);
}

/* The agent closed the connection: cancel the stream.  */
static void
on_disconnect (struct wy_standin_call *c, void *ctx)
{
  struct wy_engine_stream *s = ctx;

  stop_stream (((struct output *)s->ctx)->engine, s, "cancelled");
}

static void
begin_stream (struct wy_engine *e, struct wy_standin_call *c,
              struct wy_engine_stream *s)
{
  struct output *out = g_new0 (struct output, 1);
  json_t *run = json_string (s->run);

  out->engine = e;
  out->call = c;
  out->run_json = json_dumps (run, JSON_ENCODE_ANY);
  json_decref (run);
  s->ctx = out;
  s->prefix_name = wy_engine_prefix_name (s->prompt);
  s->prompt_tokens = wy_engine_token_count (strlen (s->prompt));
  g_hash_table_insert (e->streams, s->request_id, s);
  wy_standin_stream_begin (c, 200, "text/event-stream");
  c->on_disconnect = on_disconnect;
  c->disconnect_ctx = s;
  wy_engine_batch_add (&e->batch, s);
  wy_engine_run_due_steps (e);
}

static struct wy_engine_stream *
stream_new (const char *request_id, const char *run, const char *prompt)
{
  struct wy_engine_stream *s = g_new0 (struct wy_engine_stream, 1);

  s->request_id = g_strdup (request_id);
  s->run = g_strdup (run);
  s->prompt = g_strdup (prompt);
  s->segments = g_array_new (FALSE, FALSE, sizeof (struct wy_engine_segment));
  return s;
}

/* Handle POST /v1/completions.  The run is named by the member "run" of the
   body, or by the request id if that is missing.  */
void
wy_engine_start_completion (struct wy_engine *e, struct wy_standin_call *c)
{
  json_t *body = wy_standin_body_json (c);
  const char *id = string_member (body, "request_id");
  const char *run = string_member (body, "run");
  const char *prompt = string_member (body, "prompt");
  json_int_t max = json_integer_value (json_object_get (body, "max_tokens"));
  int64_t seed = json_integer_value (json_object_get (body, "seed"));
  struct wy_engine_stream *s;

  if (strcmp (string_member (body, "model"), e->o->model) != 0)
    respond_error (c, 404, "no such model");
  else if (!*id || g_hash_table_contains (e->streams, id))
    respond_error (c, 400, "request_id missing or in use");
  else if (e->batch.version == 0
           || json_integer_value (json_object_get (body, "min_version"))
                  > e->batch.version)
    respond_error (c, 503, "no_version");
  else
    {
      s = stream_new (id, *run ? run : id, prompt);
      s->nonce = g_strdup_printf (
          "%08x", (unsigned)(wy_rng_u64 (&e->rng) >> NONCE_BITS));
      s->total = completion_length (e, prompt, seed);
      if (max <= 0)
        max = MAX_TOKENS_DEFAULT;
      s->by_length = s->total > (uint32_t)max;
      s->total = MIN (s->total, (uint32_t)max);
      begin_stream (e, c, s);
    }
  json_decref (body);
}

static struct wy_engine_stream *
find_stream (struct wy_engine *e, const json_t *body)
{
  return g_hash_table_lookup (e->streams, string_member (body, "request_id"));
}

/* Handle POST /control/cancel.  */
void
wy_engine_cancel (struct wy_engine *e, struct wy_standin_call *c)
{
  json_t *body = wy_standin_body_json (c);
  struct wy_engine_stream *s = find_stream (e, body);

  json_decref (body);
  wy_standin_respond_json (c, 200,
                           json_pack ("{s:b}", "cancelled", s != NULL));
  if (s)
    stop_stream (e, s, "cancelled");
}

/* Handle POST /control/pause, or /control/resume if RESUME.  */
void
wy_engine_pause (struct wy_engine *e, struct wy_standin_call *c, bool resume)
{
  json_t *body = wy_standin_body_json (c);
  struct wy_engine_stream *s = find_stream (e, body);

  json_decref (body);
  if (s && resume)
    wy_engine_batch_resume (&e->batch, s);
  else if (s)
    wy_engine_batch_pause (&e->batch, s);
  wy_standin_respond_json (c, 200, json_pack ("{s:b}", "ok", s != NULL));
  wy_engine_run_due_steps (e);
}

/* Handle POST /control/export.  */
void
wy_engine_export (struct wy_engine *e, struct wy_standin_call *c)
{
  json_t *body = wy_standin_body_json (c);
  struct wy_engine_stream *s = find_stream (e, body);
  json_t *state;
  char *blob;

  json_decref (body);
  if (!s)
    {
      respond_error (c, 404, "no such stream");
      return;
    }
  state = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:b, s:o}", "request_id",
                     s->request_id, "run", s->run, "nonce", s->nonce, "prompt",
                     s->prompt, "next", (int)s->next, "total", (int)s->total,
                     "by_length", (int)s->by_length, "segments",
                     wy_engine_segments_json (s));
  blob = json_dumps (state, JSON_COMPACT);
  json_decref (state);
  stop_stream (e, s, "exported");
  wy_standin_respond_json (c, 200, json_pack ("{s:s}", "blob", blob));
  free (blob);
}

static void
read_segments (struct wy_engine_stream *s, const json_t *list)
{
  json_t *g;
  size_t i;

  json_array_foreach (list, i, g)
  {
    struct wy_engine_segment x
        = { json_integer_value (json_object_get (g, "version")),
            (uint32_t)json_integer_value (json_object_get (g, "from")),
            (uint32_t)json_integer_value (json_object_get (g, "to")) };

    g_array_append_val (s->segments, x);
  }
}

/* Handle POST /control/import.  The stream keeps its request id unless the
   body names another one.  */
void
wy_engine_import (struct wy_engine *e, struct wy_standin_call *c)
{
  json_t *body = wy_standin_body_json (c);
  json_t *state = json_loads (string_member (body, "blob"), 0, NULL);
  const char *id = string_member (body, "request_id");
  struct wy_engine_stream *s;

  if (!*id)
    id = string_member (state, "request_id");
  if (!*id || g_hash_table_contains (e->streams, id))
    respond_error (c, 400,
                   "no stream in the blob, or its request_id is in use");
  else if (e->batch.version == 0)
    respond_error (c, 503, "no_version");
  else
    {
      s = stream_new (id, string_member (state, "run"),
                      string_member (state, "prompt"));
      s->nonce = g_strdup (string_member (state, "nonce"));
      s->next = (uint32_t)json_integer_value (json_object_get (state, "next"));
      s->total
          = (uint32_t)json_integer_value (json_object_get (state, "total"));
      s->by_length = json_is_true (json_object_get (state, "by_length"));
      s->prefilled = true;
      read_segments (s, json_object_get (state, "segments"));
      begin_stream (e, c, s);
    }
  json_decref (state);
  json_decref (body);
}
