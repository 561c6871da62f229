/* Control calls to the engine about a run.

   Most failures can be ignored: a stream that has ended can't be paused, and
   one that the engine lost is detected by its own connection.  Calls for one
   run may overtake each other, since each uses its own connection; when a call
   completes and the queue wants another state by then, the call for that state
   is sent.  */
#include "agent/control.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  CONTROL_TIMEOUT_MS = 5000
};

struct control
{
  struct wy_agent *agent;
  char *id;
  char run[WY_ID_SIZE_BYTES];
  void (*on_done) (struct wy_run *r, const char *blob);
  bool wants_running; /* state that a pause or resume asked for */
  bool is_pause_or_resume;
};

/* Return the run that C is about, or NULL if it no longer exists.  */
static struct wy_run *
run_of (const struct control *c)
{
  struct wy_run *r = g_hash_table_lookup (c->agent->runs, c->id);

  return r && !strcmp (r->run, c->run) ? r : NULL;
}

/* The queue may have changed the state of R during the call, and a later call
   may have arrived first.  Sends the state again if it differs from
   SENT_RUNNING.  */
static void
resend_if_changed (struct wy_run *r, bool sent_running)
{
  bool running = r->item.state == WY_QUEUE_ITEM_RUNNING;

  if (r->phase == WY_PHASE_RUNNING && r->call && running != sent_running
      && r->item.state != WY_QUEUE_ITEM_WAITING)
    wy_agent_control (r, running ? "/control/resume" : "/control/pause");
}

static void
on_response (void *ctx, const struct wy_http_response *response)
{
  struct control *c = ctx;
  struct wy_run *r = run_of (c);
  json_t *body = response->err ? NULL
                               : json_loadb (response->body,
                                             response->size_bytes, 0, NULL);

  if (r && c->on_done)
    c->on_done (r, json_string_value (json_object_get (body, "blob")));
  else if (r && c->is_pause_or_resume)
    resend_if_changed (r, c->wants_running);
  json_decref (body);
  g_free (c->id);
  g_free (c);
}

static void
call (struct wy_run *r, const char *path, struct control *c)
{
  const struct wy_agent_settings *s = r->agent->s;
  json_t *body = json_pack ("{s:s}", "request_id", r->run);
  char *text = json_dumps (body, JSON_COMPACT);
  struct wy_http_call_options o = { .method = "POST",
                                    .host = s->target_host,
                                    .port = (uint16_t)s->target_port,
                                    .path = path,
                                    .body = text,
                                    .body_size_bytes = strlen (text),
                                    .timeout_ms = CONTROL_TIMEOUT_MS };

  c->agent = r->agent;
  c->id = g_strdup (r->id);
  memcpy (c->run, r->run, sizeof c->run);
  wy_http_fetch (r->agent->client, &o, on_response, c);
  free (text);
  json_decref (body);
}

/* POST the identifier of R to PATH, a control endpoint of the engine.  */
void
wy_agent_control (struct wy_run *r, const char *path)
{
  struct control *c = g_new0 (struct control, 1);

  c->wants_running = !strcmp (path, "/control/resume");
  c->is_pause_or_resume = c->wants_running || !strcmp (path, "/control/pause");
  call (r, path, c);
}

/* Export the state of R from the engine.  ON_DONE is called with the state, or
   NULL on failure, unless R has been freed by then.  */
void
wy_agent_control_export (struct wy_run *r,
                         void (*on_done) (struct wy_run *r, const char *blob))
{
  struct control *c = g_new0 (struct control, 1);

  c->on_done = on_done;
  call (r, "/control/export", c);
}
