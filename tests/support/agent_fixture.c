/* An agent in the event loop of the test, with a target and entries that the
   test controls.  */
#include "agent_fixture.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "base/id.h"

enum
{
  GUARD_MS = 20000
};

static const struct wy_inner_key entry_keys[] = { { 1, "secret" } };

static void
on_guard (uv_timer_t *t)
{
  cr_assert_fail ("timed out");
}

static void
on_check (uv_check_t *c)
{
  struct fixture *w = c->data;

  if (w->done && w->done (w))
    uv_stop (&w->loop);
}

/* Run the loop until DONE returns true.  */
void
agent_fixture_run_until (struct fixture *w, bool (*done) (struct fixture *w))
{
  w->done = done;
  uv_timer_start (&w->guard, on_guard, GUARD_MS, 0);
  if (!done (w))
    uv_run (&w->loop, UV_RUN_DEFAULT);
  uv_timer_stop (&w->guard);
  w->done = NULL;
}

static void
on_waited (uv_timer_t *t)
{
  uv_stop (t->loop);
}

/* Run the loop for MS milliseconds.  */
void
agent_fixture_run_ms (struct fixture *w, uint32_t ms)
{
  uv_timer_start (&w->guard, on_waited, ms, 0);
  uv_run (&w->loop, UV_RUN_DEFAULT);
  uv_timer_stop (&w->guard);
}

static void
record_end (struct peer *p, const struct wy_frame_end *e)
{
  p->ends++;
  p->end = *e;
  g_free (p->end_run);
  p->end_run = wy_bytes_dup (e->run);
  cr_assert_leq (e->n_segments, G_N_ELEMENTS (p->segments));
  if (e->n_segments)
    memcpy (p->segments, e->segments, e->n_segments * sizeof *e->segments);
}

static void
record_chunk (struct peer *p, const struct wy_frame_chunk *c)
{
  if (c->offset_bytes != p->body->len)
    p->gap = true;
  g_byte_array_append (p->body, (const guint8 *)c->data.p, c->data.n);
}

static void
on_frame (void *ctx, struct wy_conn *c, const struct wy_frame *f)
{
  struct peer *p = ctx;

  switch (f->kind)
    {
    case WY_FRAME_PING:
    case WY_FRAME_PONG:
      p->pongs += f->kind == WY_FRAME_PONG;
      p->has_load = f->u.ping.has_load;
      p->load = f->u.ping.load;
      p->config_revision = f->u.ping.config_revision;
      return;
    case WY_FRAME_ACCEPTED:
      p->accepted++;
      return;
    case WY_FRAME_REFUSED:
      p->refused++;
      p->refused_ran = f->u.refused.ran;
      p->reason = f->u.refused.reason;
      p->retry_after_ms = f->u.refused.retry_after_ms;
      return;
    case WY_FRAME_HEAD:
      p->heads++;
      p->status = f->u.head.status;
      return;
    case WY_FRAME_CHUNK:
      record_chunk (p, &f->u.chunk);
      return;
    case WY_FRAME_END:
      record_end (p, &f->u.end);
      return;
    case WY_FRAME_OUTCOME:
      p->outcomes++;
      p->outcome = f->u.end;
      return;
    case WY_FRAME_ORDERED:
      p->ordered++;
      p->order = f->u.ordered;
      return;
    case WY_FRAME_LEAVING:
      p->leaving++;
      return;
    case WY_FRAME_CONFIG:
      p->configs++;
      return;
    default:
      cr_assert_fail ("frame of kind %d", (int)f->kind);
    }
}

static void
on_ready (void *ctx, struct wy_conn *c, const char *process,
          const char *incarnation, const char *availability_zone)
{
  ((struct peer *)ctx)->ready = true;
}

static void
on_closed (void *ctx, struct wy_conn *c, int err)
{
  struct peer *p = ctx;

  p->closed++;
  if (p->conn == c)
    {
      p->conn = NULL;
      p->ready = false;
    }
}

static void
fill_ping (void *ctx, struct wy_conn *c, struct wy_frame_ping *ping)
{
  ping->config_revision = ((struct peer *)ctx)->config_revision;
}

/* Connect entry I, for the first time or again.  */
void
agent_fixture_connect (struct fixture *w, uint32_t i)
{
  struct peer *p = &w->entry[i];
  struct wy_conn_events ev = { .on_ready = on_ready,
                               .on_frame = on_frame,
                               .on_closed = on_closed,
                               .fill_ping = fill_ping,
                               .ctx = p };

  p->ready = false;
  p->conn = wy_conn_dial (&p->identity, "127.0.0.1", wy_agent_port (w->agent),
                          &ev);
}

/* Close the connection of entry I.  */
void
agent_fixture_disconnect (struct fixture *w, uint32_t i)
{
  wy_conn_close (w->entry[i].conn);
  w->entry[i].conn = NULL;
  w->entry[i].ready = false;
}

/* Whether all entries are connected and have received the load of a target
   that is up.  */
bool
agent_fixture_entries_ready (struct fixture *w)
{
  for (uint32_t i = 0; i < FIXTURE_ENTRIES; i++)
    if (!w->entry[i].ready || !w->entry[i].has_load
        || !w->entry[i].load.target_up)
      return false;
  return true;
}

/* A request for a model, with the request id ID.  */
struct wy_frame_submit
agent_fixture_submit_model (const char *id)
{
  struct wy_frame_submit s
      = { .id = wy_bytes_of (id),
          .name = wy_bytes_of ("pattern"),
          .is_model = true,
          .fingerprint = 1,
          .attempt = 1,
          .prompt_tokens = 5,
          .max_tokens = 50,
          .predicted_tokens = 50,
          .trainer = wy_bytes_of (""),
          .method = wy_bytes_of ("POST"),
          .path = wy_bytes_of ("/v1/completions"),
          .body = wy_bytes_of ("{\"model\":\"pattern\",\"prompt\":\"p\"}") };

  return s;
}

/* A request for a service, with the request id ID.  */
struct wy_frame_submit
agent_fixture_submit_service (struct fixture *w, const char *id,
                              bool non_idempotent)
{
  static const struct wy_header_pair headers[]
      = { { { "content-type", 12 }, { "application/json", 16 } } };
  int64_t now_ms = wy_clock_wall_ms (wy_clock_system ());
  struct wy_frame_submit s = { .id = wy_bytes_of (id),
                               .name = wy_bytes_of ("portal"),
                               .non_idempotent = non_idempotent,
                               .issued_ms = now_ms,
                               .sent_ms = now_ms,
                               .fingerprint = 1,
                               .attempt = 1,
                               .trainer = wy_bytes_of (""),
                               .method = wy_bytes_of ("POST"),
                               .path = wy_bytes_of ("/filings?x=1"),
                               .body = wy_bytes_of ("{\"key\":\"k\"}"),
                               .headers = headers,
                               .n_headers = 1 };

  return s;
}

/* Send the request S from entry I.  */
void
agent_fixture_send_submit (struct fixture *w, uint32_t i,
                           const struct wy_frame_submit *s)
{
  struct wy_frame f = { .kind = WY_FRAME_SUBMIT };

  f.u.submit = *s;
  cr_assert_eq (wy_conn_send (w->entry[i].conn, &f), 0);
}

/* Send a frame that names a request (RESUME, CANCEL, ACK, ...) from entry
   I.  */
void
agent_fixture_send_frame (struct fixture *w, uint32_t i,
                          enum wy_frame_kind kind, const char *id,
                          const char *run, uint64_t offset_bytes)
{
  struct wy_frame f = { .kind = kind };

  f.u.resume.id = wy_bytes_of (id);
  f.u.resume.run = wy_bytes_of (run);
  f.u.resume.offset_bytes = offset_bytes;
  cr_assert_eq (wy_conn_send (w->entry[i].conn, &f), 0);
}

/* Send an order from entry I, under the lease "rollout" unless FENCE is 0.  */
void
agent_fixture_send_order (struct fixture *w, uint32_t i, const char *order,
                          enum wy_order_kind kind, int64_t fence,
                          int64_t version)
{
  struct wy_frame f = { .kind = WY_FRAME_ORDER };

  f.u.order.order = wy_bytes_of (order);
  f.u.order.lease = wy_bytes_of (fence ? "rollout" : "");
  f.u.order.fence = fence;
  f.u.order.kind = kind;
  f.u.order.model = wy_bytes_of ("pattern");
  f.u.order.version = version;
  cr_assert_eq (wy_conn_send (w->entry[i].conn, &f), 0);
}

/* Send from entry I a configuration whose service has MEMBERS, given as the
   elements of a JSON array.  */
void
agent_fixture_send_config (struct fixture *w, uint32_t i, int64_t revision,
                           const char *members)
{
  struct wy_frame f = { .kind = WY_FRAME_CONFIG };
  char *json = g_strdup_printf (
      "{\"models\":[],\"services\":[{\"name\":\"portal\",\"members\":[%s],"
      "\"previous\":[],\"effective_ms\":0}],\"yards\":[],\"drained\":[],"
      "\"unblocked\":[]}",
      members);

  f.u.config.revision = revision;
  f.u.config.confirmed_ms = wy_clock_wall_ms (wy_clock_system ());
  f.u.config.json = wy_bytes_of (json);
  cr_assert_eq (wy_conn_send (w->entry[i].conn, &f), 0);
  g_free (json);
}

/* The events of the agent's timeline that are named EVENT, as an array.  */
json_t *
agent_fixture_events (struct fixture *w, const char *event)
{
  GString *text = g_string_new (NULL);
  json_t *list = json_array ();
  char **lines;

  wy_trace_read (w->trace, 0, text);
  lines = g_strsplit (text->str, "\n", -1);
  for (size_t i = 0; lines[i]; i++)
    {
      json_t *j = json_loads (lines[i], 0, NULL);
      const char *name = json_string_value (json_object_get (j, "ev"));

      if (name && !strcmp (name, event))
        json_array_append (list, j);
      json_decref (j);
    }
  g_strfreev (lines);
  g_string_free (text, TRUE);
  return list;
}

static void
on_stopped (void *ctx, uint32_t aborted)
{
  struct fixture *w = ctx;

  w->stopped = true;
  w->cut = aborted;
}

static void
init_peer (struct fixture *w, struct peer *p, const char *name)
{
  p->fixture = w;
  p->body = g_byte_array_new ();
  p->identity = (struct wy_inner_identity){ .loop = &w->loop,
                                            .clock = wy_clock_system (),
                                            .process = name,
                                            .incarnation = "inc",
                                            .availability_zone = "surrey",
                                            .keys = entry_keys,
                                            .n_keys = 1,
                                            .handshake_timeout_ms = 2000,
                                            .heartbeat_ms = 20,
                                            .silence_limit_ms = 2000,
                                            .send_limit_bytes = 1 << 24 };
}

static void
load_settings (struct fixture *w, enum wy_target_kind kind)
{
  char *text = g_strdup_printf (
      "name: t-1\navailability_zone: surrey\ntarget_kind: %s\n"
      "target_name: %s\ntarget_port: %u\nkey_1: \"1:secret\"\n"
      "heartbeat_ms: 20\nsilence_limit_ms: 2000\ntarget_poll_ms: 10\n"
      "clock_skew_ms: 20\norphan_grace_ms: 200\nretained_ms: 400\n",
      kind == WY_TARGET_MODEL ? "model" : "service",
      kind == WY_TARGET_MODEL ? "pattern" : "portal",
      wy_http_server_port (w->target));
  char *path = NULL;
  int fd = g_file_open_tmp ("wy-agent-XXXXXX", &path, NULL);
  GString *errors = g_string_new (NULL);

  cr_assert (fd >= 0 && g_file_set_contents (path, text, -1, NULL));
  cr_assert_eq (wy_settings_load (path, wy_agent_settings_table,
                                  WY_AGENT_SETTINGS_COUNT, &w->s, errors),
                0, "%s", errors->str);
  remove (path);
  g_free (path);
  g_free (text);
}

/* Initialize W with a target of KIND.  Settings may be changed until
   agent_fixture_start.  */
void
agent_fixture_init (struct fixture *w, enum wy_target_kind kind)
{
  memset (w, 0, sizeof *w);
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&w->loop);
  uv_timer_init (&w->loop, &w->guard);
  uv_check_init (&w->loop, &w->check);
  w->check.data = w;
  uv_check_start (&w->check, on_check);
  w->control_paths = g_string_new ("");
  w->incarnation = "engine-a";
  w->version = 7;
  agent_fixture_start_target (w);
  load_settings (w, kind);
  init_peer (w, &w->entry[0], "entry-1");
  init_peer (w, &w->entry[1], "entry-2");
}

/* Start the agent and wait until all entries are connected.  */
void
agent_fixture_start (struct fixture *w)
{
  struct wy_trace_options trace = { .process = "t-1",
                                    .incarnation = "agent-inc",
                                    .clock = wy_clock_system () };
  struct wy_agent_options o = { .loop = &w->loop,
                                .clock = wy_clock_system (),
                                .settings = &w->s,
                                .on_stopped = on_stopped,
                                .ctx = w };

  cr_assert_eq (wy_trace_new (&w->trace, &trace), 0);
  w->metrics = wy_metrics_new ();
  o.trace = w->trace;
  o.metrics = w->metrics;
  cr_assert_eq (wy_agent_new (&w->agent, &o), 0);
  for (uint32_t i = 0; i < FIXTURE_ENTRIES; i++)
    agent_fixture_connect (w, i);
  agent_fixture_run_until (w, agent_fixture_entries_ready);
}
