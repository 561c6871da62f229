/* A small agent that speaks the protocol between entries and agents,
   controlled by the test.  */
#include "fake_agent.h"

#include <criterion/criterion.h>
#include <string.h>

#include "base/id.h"

static const struct wy_inner_key key = { 1, "secret" };

static void
run_free (gpointer p)
{
  struct fake_run *r = p;

  g_free (r->id);
  g_free (r->run);
  g_string_free (r->body, TRUE);
  g_free (r);
}

static void
send_frame (struct fake_agent *a, const struct wy_frame *f)
{
  if (a->conn)
    wy_conn_send (a->conn, f);
}

static void
on_ready (void *ctx, struct wy_conn *c, const char *process,
          const char *incarnation, const char *zone)
{
  struct fake_agent *a = ctx;

  a->conn = c;
  a->ready++;
}

static void
on_closed (void *ctx, struct wy_conn *c, int err)
{
  struct fake_agent *a = ctx;

  if (a->conn == c)
    a->conn = NULL;
}

static void
handle_submit (struct fake_agent *a, const struct wy_frame *f)
{
  a->submits++;
  a->last = f->u.submit;
  g_free (a->last_id);
  g_free (a->last_path);
  g_free (a->last_body);
  a->last_id = wy_bytes_dup (f->u.submit.id);
  a->last_path = wy_bytes_dup (f->u.submit.path);
  a->last_body = wy_bytes_dup (f->u.submit.body);
  if (a->on_submit)
    a->on_submit (a, f);
  else
    fake_send_response (a, f);
}

static void
on_frame (void *ctx, struct wy_conn *c, const struct wy_frame *f)
{
  struct fake_agent *a = ctx;
  struct wy_frame out = { .kind = WY_FRAME_ORDERED };

  switch (f->kind)
    {
    case WY_FRAME_SUBMIT:
      handle_submit (a, f);
      return;
    case WY_FRAME_RESUME:
      a->resumes++;
      (a->on_resume ? a->on_resume : fake_send_rest) (a, f);
      return;
    case WY_FRAME_QUERY:
      if (a->on_query)
        a->on_query (a, f);
      return;
    case WY_FRAME_CANCEL:
      a->cancels++;
      return;
    case WY_FRAME_ACK:
      a->acks++;
      return;
    case WY_FRAME_ORDER:
      a->orders++;
      out.u.ordered.order = f->u.order.order;
      out.u.ordered.version = f->u.order.version;
      send_frame (a, &out);
      return;
    case WY_FRAME_CONFIG:
      a->config_revision = f->u.config.revision;
      return;
    default:
      return;
    }
}

static void
fill_ping (void *ctx, struct wy_conn *c, struct wy_frame_ping *p)
{
  struct fake_agent *a = ctx;

  p->config_revision = a->config_revision;
  p->has_load = true;
  p->load = a->load;
}

static struct wy_conn_events
on_accept (void *ctx, struct wy_conn *c)
{
  return (struct wy_conn_events){ .on_ready = on_ready,
                                  .on_frame = on_frame,
                                  .on_closed = on_closed,
                                  .fill_ping = fill_ping,
                                  .ctx = ctx };
}

/* Start A on LOOP, on any port if PORT is 0.  A is zero except for the
   callbacks of the test.  */
void
fake_agent_start (struct fake_agent *a, uv_loop_t *loop, const char *name,
                  const char *incarnation, uint16_t port)
{
  struct wy_listener_options o = {
    .host = "127.0.0.1", .port = port, .on_accept = on_accept, .ctx = a
  };

  a->name = g_strdup (name);
  a->identity = (struct wy_inner_identity){ .loop = loop,
                                            .clock = wy_clock_system (),
                                            .process = a->name,
                                            .incarnation = incarnation,
                                            .availability_zone = "a",
                                            .keys = &key,
                                            .n_keys = 1,
                                            .handshake_timeout_ms = 1000,
                                            .heartbeat_ms = 50,
                                            .silence_limit_ms = 300,
                                            .send_limit_bytes = 1 << 20 };
  a->load.target_up = true;
  a->load.streams_max = 16;
  a->load.kv_total_tokens = 100000;
  a->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, run_free);
  o.identity = &a->identity;
  cr_assert_eq (wy_listener_new (&a->listener, &o), 0);
  a->port = wy_listener_port (a->listener);
}

/* Close the listener and the connection of A, as if its process had ended.  */
void
fake_agent_stop (struct fake_agent *a)
{
  if (a->listener)
    wy_listener_close (a->listener);
  a->listener = NULL;
  if (a->conn)
    wy_conn_close (a->conn);
}

/* Free the memory of A.  */
void
fake_agent_free (struct fake_agent *a)
{
  g_hash_table_destroy (a->runs);
  g_free (a->name);
  g_free (a->last_id);
  g_free (a->last_path);
  g_free (a->last_body);
}

/* Accept the SUBMIT F as RUN, whose response body will be BODY.  */
struct fake_run *
fake_accept (struct fake_agent *a, const struct wy_frame *f, const char *run,
             const char *body)
{
  struct fake_run *r = g_malloc0 (sizeof *r);
  struct wy_frame out = { .kind = WY_FRAME_ACCEPTED };

  r->id = wy_bytes_dup (f->u.submit.id);
  r->run = g_strdup (run);
  r->body = g_string_new (body);
  g_hash_table_replace (a->runs, r->id, r);
  out.u.resume.id = f->u.submit.id;
  out.u.resume.run = wy_bytes_of (r->run);
  send_frame (a, &out);
  return r;
}

/* Send the head of R's response.  */
void
fake_send_head (struct fake_agent *a, const struct fake_run *r, int status,
                const char *type)
{
  struct wy_frame f = { .kind = WY_FRAME_HEAD };
  struct wy_header_pair h
      = { wy_bytes_of ("content-type"), wy_bytes_of (type) };

  f.u.head.id = wy_bytes_of (r->id);
  f.u.head.run = wy_bytes_of (r->run);
  f.u.head.status = (uint32_t)status;
  f.u.head.headers = &h;
  f.u.head.n_headers = 1;
  send_frame (a, &f);
}

/* Send bytes FROM (inclusive) to TO (exclusive) of R's response body.  */
void
fake_send_chunk (struct fake_agent *a, const struct fake_run *r, size_t from,
                 size_t to)
{
  struct wy_frame f = { .kind = WY_FRAME_CHUNK };

  f.u.chunk.id = wy_bytes_of (r->id);
  f.u.chunk.run = wy_bytes_of (r->run);
  f.u.chunk.offset_bytes = from;
  f.u.chunk.data.p = r->body->str + from;
  f.u.chunk.data.n = (uint32_t)(to - from);
  send_frame (a, &f);
}

/* Send the END of R.  */
void
fake_send_end (struct fake_agent *a, const struct fake_run *r,
               enum wy_run_result result)
{
  static const struct wy_segment segment = { 3, 0, 2 };
  struct wy_frame f = { .kind = WY_FRAME_END };
  bool done = result == WY_RUN_DONE;

  f.u.end.id = wy_bytes_of (r->id);
  f.u.end.run = wy_bytes_of (r->run);
  f.u.end.result = result;
  f.u.end.ran = WY_RAN_YES;
  f.u.end.total_bytes = done ? r->body->len : 0;
  f.u.end.digest = wy_hash64 (r->body->str, r->body->len, 0);
  f.u.end.tokens = 2;
  f.u.end.finish = wy_bytes_of ("stop");
  f.u.end.segments = &segment;
  f.u.end.n_segments = 1;
  send_frame (a, &f);
}

/* Send a REFUSED for request ID.  */
void
fake_send_refused (struct fake_agent *a, const char *id, enum wy_ran ran,
                   enum wy_refusal_reason reason, uint32_t retry_after_ms)
{
  struct wy_frame f = { .kind = WY_FRAME_REFUSED };

  f.u.refused.id = wy_bytes_of (id);
  f.u.refused.ran = ran;
  f.u.refused.reason = reason;
  f.u.refused.retry_after_ms = retry_after_ms;
  send_frame (a, &f);
}

/* Send the complete response to the SUBMIT F: a completion of two tokens, or
   for a service a text that names the agent.  */
void
fake_send_response (struct fake_agent *a, const struct wy_frame *f)
{
  char *run = g_strdup_printf ("%s-%u", a->name, a->submits);
  char *body = f->u.submit.is_model ? fake_event_stream (run, 2)
                                    : g_strdup_printf ("by %s", a->name);
  struct fake_run *r = fake_accept (a, f, run, body);

  fake_send_head (a, r, 200,
                  f->u.submit.is_model ? "text/event-stream" : "text/plain");
  fake_send_chunk (a, r, 0, r->body->len);
  fake_send_end (a, r, WY_RUN_DONE);
  r->finished = true;
  g_free (run);
  g_free (body);
}

/* Send the rest of the response from the offset in the RESUME F on.  */
void
fake_send_rest (struct fake_agent *a, const struct wy_frame *f)
{
  char *id = wy_bytes_dup (f->u.resume.id);
  struct fake_run *r = g_hash_table_lookup (a->runs, id);

  if (!r)
    fake_send_refused (a, id, WY_RAN_UNKNOWN, WY_REFUSED_LOST, 0);
  else
    {
      fake_send_head (a, r, 200, "text/event-stream");
      fake_send_chunk (a, r, f->u.resume.offset_bytes, r->body->len);
      fake_send_end (a, r, WY_RUN_DONE);
    }
  g_free (id);
}

/* The server-sent events of a completion of N tokens by RUN, as an engine
   sends them.  The caller frees the text.  */
char *
fake_event_stream (const char *run, int n)
{
  GString *s = g_string_new (NULL);

  for (int i = 0; i < n; i++)
    g_string_append_printf (
        s,
        "data: {\"run\":\"%s\",\"i\":%d,\"text\":\"t%d \",\"version\":3}\n\n",
        run, i, i);
  g_string_append_printf (s,
                          "data: {\"run\":\"%s\",\"done\":true,\"finish\":"
                          "\"stop\",\"tokens\":%d}\n\n",
                          run, n);
  return g_string_free (s, FALSE);
}
