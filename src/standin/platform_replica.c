/* Stand-in of a replica on the platform.  The data of an event depends only on
   its number, so that a text assembled from several runs can be checked.  */
#include "standin/platform_replica_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEADER_LIMIT_BYTES = 65536,
  BODY_LIMIT_BYTES = 16 << 20,
  IDLE_MS = 60000
};

/* Every replica responds 500 to a plain request whose body begins so.  */
#define FAILS_ALWAYS "fail"

/* A plain request whose body begins so crashes every replica that runs it, and
   in the second case after the response has begun.  */
#define CRASHES_ALWAYS "crash"
#define CRASHES_LATE "crash-late"

struct run
{
  struct wy_platform_replica *replica;
  char *id;
  struct wy_h1_request *request;
  uv_timer_t timer;
  int64_t next; /* event */
  int64_t version;
  uint32_t sent;
  bool abort;
  bool stalled;
  bool other_text;
  bool split;
  bool spoil;
  GString *rest; /* of an event whose first part was sent */
  uint32_t number;
  int64_t after; /* event that it was asked to continue after; 0: none */
};

/* Write the data of event number EVENT to OUT of SIZE bytes and return OUT. */
const char *
wy_platform_replica_event_data (uint32_t event, char *out, size_t size)
{
  snprintf (out, size, "piece-%u", event);
  return out;
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct run *u = h->data;

  g_string_free (u->rest, TRUE);
  g_free (u->id);
  g_free (u);
}

static void
end_run (struct run *u)
{
  u->replica->running--;
  uv_close ((uv_handle_t *)&u->timer, on_timer_closed);
}

static void
on_disconnect (void *ctx)
{
  end_run (ctx);
}

/* Format the data of the next event of U.  */
static void
format_data (const struct run *u, char *out, size_t size)
{
  char data[64];

  wy_platform_replica_event_data ((uint32_t)u->next, data, sizeof data);
  if (u->replica->o.names_runs)
    snprintf (out, size, "%s of %s/%u after %lld", data, u->replica->o.id,
              u->number, (long long)u->after);
  else
    snprintf (out, size, "%s%s", u->other_text ? "other-" : "", data);
}

/* Send an event of N bytes, or its first half: the rest follows before the
   next one.  */
static void
send_text (struct run *u, const char *text, size_t n)
{
  size_t part = u->split ? n / 2 : n;

  wy_h1_write_response (u->request, text, part);
  g_string_append_len (u->rest, text + part, (gssize)(n - part));
}

static void
send_rest (struct run *u)
{
  wy_h1_write_response (u->request, u->rest->str, u->rest->len);
  g_string_truncate (u->rest, 0);
}

static void
send_event (struct run *u)
{
  char data[128];
  char text[224];
  int n = 0;

  if (u->version != u->replica->version)
    {
      u->version = u->replica->version;
      n = snprintf (text, sizeof text, "weight-versions: %lld\n",
                    (long long)u->version);
    }
  format_data (u, data, sizeof data);
  n += snprintf (text + n, sizeof text - (size_t)n, "id: %lld\ndata: %s\n\n",
                 (long long)u->next, data);
  if (u->spoil && u->next == u->replica->faults.spoil_event)
    *(u->replica->faults.spoil_id ? strstr (text, "id: ") + sizeof "id:"
                                  : text + n - sizeof "\n\n")
        = (char)u->replica->faults.spoil_byte;
  send_text (u, text, (size_t)n);
  u->next++;
  u->sent++;
}

static void
on_event_timer (uv_timer_t *t)
{
  struct run *u = t->data;
  struct wy_platform_replica *r = u->replica;

  send_rest (u);
  if (u->next <= r->o.events)
    send_event (u);
  if (u->abort && u->sent >= r->faults.abort_after_events)
    {
      wy_h1_abort (u->request);
      end_run (u);
    }
  else if (u->stalled)
    uv_timer_stop (t);
  else if (u->next > r->o.events && u->rest->len == 0)
    {
      wy_h1_on_hangup (u->request, NULL, NULL);
      wy_h1_end_response (u->request);
      if (r->o.on_stream_end)
        r->o.on_stream_end (r->o.ctx, r->o.id, u->id);
      end_run (u);
    }
}

static void
start_stream (struct wy_platform_replica *r, struct wy_h1_request *q,
              const char *id)
{
  const char *after = wy_h1_head_get (wy_h1_head (q), "Last-Event-Id");
  struct run *u = g_new0 (struct run, 1);
  char version[24];
  char load[48];
  struct wy_h1_header fields[]
      = { { "Content-Type", "text/event-stream" },
          { "Attempt-Id", wy_platform_take_fault (&r->faults.wrong_attempt_id)
                              ? "another"
                              : id },
          { "Response-Stamp", "stamp" },
          { "Server-Load", load },
          { "Weight-Versions", version } };

  u->rest = g_string_new (NULL);
  u->number = ++r->runs;
  r->running++;
  r->last_resume = after ? g_ascii_strtoll (after, NULL, 10) : 0;
  u->replica = r;
  u->id = g_strdup (id);
  u->request = q;
  u->version = r->version;
  u->other_text = after && wy_platform_take_fault (&r->faults.ignore_resume);
  u->next = u->other_text ? 1 : r->last_resume + 1;
  u->abort = wy_platform_take_fault (&r->faults.abort_streams);
  u->stalled = wy_platform_take_fault (&r->faults.stall_streams);
  u->split = wy_platform_take_fault (&r->faults.split_streams);
  u->spoil = wy_platform_take_fault (&r->faults.spoil_streams);
  u->after = r->last_resume;
  snprintf (version, sizeof version, "%lld%s", (long long)r->version,
            wy_platform_take_fault (&r->faults.spoil_version) ? "\xb1" : "");
  snprintf (load, sizeof load, "%u,0,%u", r->running, r->o.slots);
  wy_h1_begin_response (q, 200, fields, G_N_ELEMENTS (fields));
  uv_timer_init (r->o.loop, &u->timer);
  u->timer.data = u;
  uv_timer_start (&u->timer, on_event_timer,
                  wy_platform_take_fault (&r->faults.late_streams)
                      ? r->faults.late_ms
                      : r->o.event_ms,
                  r->o.event_ms);
  wy_h1_on_hangup (q, on_disconnect, u);
}

/* A plain (unstreamed) request in progress.  */
struct plain_run
{
  struct wy_platform_replica *replica;
  struct wy_h1_request *request;
  char *id;
  int status;
  uv_timer_t timer;
};

static void
on_plain_closed (uv_handle_t *h)
{
  struct plain_run *u = h->data;

  g_free (u->id);
  g_free (u);
}

static void
end_plain (struct plain_run *u)
{
  u->replica->running--;
  uv_close ((uv_handle_t *)&u->timer, on_plain_closed);
}

static void
on_plain_disconnect (void *ctx)
{
  end_plain (ctx);
}

static void
respond_plain (struct plain_run *u)
{
  struct wy_platform_replica *r = u->replica;
  size_t n;
  const char *body = wy_h1_body (u->request, &n);
  char load[48];
  char stamp[160];
  struct wy_h1_header fields[3]
      = { { "Attempt-Id", wy_platform_take_fault (&r->faults.wrong_attempt_id)
                              ? "another"
                              : u->id },
          { "Server-Load", load },
          { "Response-Stamp", stamp } };

  snprintf (load, sizeof load, "%u,0,%u", r->running - 1, r->o.slots);
  snprintf (stamp, sizeof stamp, "%s.%s.%u%s", u->id, r->o.id, r->responses++,
            wy_platform_take_fault (&r->faults.spoil_stamp) ? "\xff" : "");
  if (r->o.on_response)
    r->o.on_response (r->o.ctx, r->o.id, u->id, u->status, stamp);
  wy_h1_on_hangup (u->request, NULL, NULL);
  /* The request's body is echoed, so that a caller can tell its own response.
   */
  wy_h1_respond (u->request, u->status, fields,
                 wy_platform_take_fault (&r->faults.omit_stamp) ? 2 : 3, body,
                 n);
  end_plain (u);
}

static void
on_plain_timer (uv_timer_t *t)
{
  respond_plain (t->data);
}

static void
start_plain (struct wy_platform_replica *r, struct wy_h1_request *q,
             int status, const char *id)
{
  struct plain_run *u = g_new0 (struct plain_run, 1);

  r->running++;
  u->replica = r;
  u->request = q;
  u->id = g_strdup (id);
  u->status = status;
  uv_timer_init (r->o.loop, &u->timer);
  u->timer.data = u;
  wy_h1_on_hangup (q, on_plain_disconnect, u);
  if (wy_platform_take_fault (&r->faults.hang))
    return;
  if (r->faults.response_ms)
    uv_timer_start (&u->timer, on_plain_timer, r->faults.response_ms, 0);
  else
    respond_plain (u);
}

static void
notify_run (const struct wy_platform_replica *r, const struct wy_h1_head *head,
            const char *id, const char *body, size_t n)
{
  if (r->o.on_caller)
    r->o.on_caller (r->o.ctx, id, wy_h1_head_get (head, "Tenant"),
                    wy_h1_head_get (head, "Authorization"));
  if (r->o.on_run)
    r->o.on_run (r->o.ctx, r->o.id, id, body, n);
}

static bool
body_begins (struct wy_h1_request *q, const char *prefix)
{
  size_t n;
  const char *body = wy_h1_body (q, &n);

  return n >= strlen (prefix) && !memcmp (body, prefix, strlen (prefix));
}

/* Run Q without a response until the process ends.  */
static void
run_and_crash (struct wy_platform_replica *r, struct wy_h1_request *q,
               const char *id)
{
  r->faults.hang++;
  start_plain (r, q, 0, id);
  if (body_begins (q, CRASHES_LATE))
    {
      struct wy_h1_header fields[]
          = { { "Attempt-Id", id }, { "Response-Stamp", "stamp" } };

      wy_h1_begin_response (q, 200, fields, G_N_ELEMENTS (fields));
      wy_h1_write_response (q, "begun", strlen ("begun"));
    }
  wy_platform_replica_crash_soon (r);
}

static void
run (struct wy_platform_replica *r, struct wy_h1_request *q)
{
  const struct wy_h1_head *head = wy_h1_head (q);
  const char *target = wy_h1_head_get (head, "Target-Instance");
  const char *id = wy_h1_head_get (head, "Attempt-Id");
  struct wy_h1_header not_run = { "Not-Executed", "1" };

  if (target && strcmp (target, r->o.id) != 0)
    wy_h1_respond (q, 421, NULL, 0, "", 0);
  else if (!id || wy_platform_take_fault (&r->faults.respond_not_run)
           || (r->o.model && r->running >= r->o.slots))
    wy_h1_respond (q, id ? 503 : 400, &not_run, 1, "", 0);
  else if (wy_platform_take_fault (&r->faults.lose_response))
    {
      r->runs++;
      notify_run (r, head, id, "", 0);
      wy_h1_abort (q);
    }
  else if (wy_platform_take_fault (&r->faults.respond_malformed))
    {
      r->runs++;
      notify_run (r, head, id, "", 0);
      wy_platform_replica_respond_malformed (r, q, id);
    }
  else if (wy_platform_take_fault (&r->faults.respond_422))
    start_plain (r, q, 422, id);
  else if (wy_platform_take_fault (&r->faults.respond_500))
    {
      r->runs++;
      start_plain (r, q, 500, id);
    }
  else if (wy_platform_take_fault (&r->faults.respond_503_after_run))
    {
      r->runs++;
      start_plain (r, q, 503, id);
    }
  else if (r->o.model)
    {
      notify_run (r, head, id, "", 0);
      start_stream (r, q, id);
    }
  else
    {
      size_t n;
      const char *body = wy_h1_body (q, &n);

      r->runs++;
      notify_run (r, head, id, body, n);
      if (body_begins (q, CRASHES_ALWAYS))
        run_and_crash (r, q, id);
      else
        start_plain (r, q, body_begins (q, FAILS_ALWAYS) ? 500 : 200, id);
    }
}

static void
on_request (void *ctx, struct wy_h1_request *q)
{
  struct wy_platform_replica *r = ctx;
  const char *t = wy_h1_target (q);

  if (r->faults.silent)
    return;
  if (!strcmp (t, "/api/report"))
    wy_platform_replica_report (r, q);
  else if (!strcmp (t, "/api/order"))
    wy_platform_replica_order (r, q);
  else
    run (r, q);
}

/* Listen at R's port, or at any free one if it has none yet.  Returns 0 or a
   wy_h1_error.  */
int
wy_platform_replica_listen (struct wy_platform_replica *r)
{
  struct wy_h1_server_options h
      = { .loop = r->o.loop,
          .host = "127.0.0.1",
          .port = r->port,
          .limits = { .header_bytes = HEADER_LIMIT_BYTES,
                      .body_bytes = BODY_LIMIT_BYTES,
                      .header_timeout_ms = IDLE_MS,
                      .idle_timeout_ms = IDLE_MS,
                      .buffered_bytes = UINT64_MAX / 2 },
          .on_request = on_request,
          .ctx = r };
  int err = wy_h1_server_new (&r->server, &h);

  if (!err)
    r->port = wy_h1_server_port (r->server);
  return err;
}

/* Start a replica with the options O.  Return NULL if it gets no port.  */
struct wy_platform_replica *
wy_platform_replica_new (const struct wy_platform_replica_options *o)
{
  struct wy_platform_replica *r = g_new0 (struct wy_platform_replica, 1);

  r->o = *o;
  r->version = 1;
  r->started_ms = 1;
  if (wy_platform_replica_listen (r))
    {
      g_free (r);
      return NULL;
    }
  uv_timer_init (o->loop, &r->load_timer);
  r->load_timer.data = r;
  uv_timer_init (o->loop, &r->crash_timer);
  r->crash_timer.data = r;
  return r;
}

/* Close R.  The loop must run afterwards until its handles are closed.  */
void
wy_platform_replica_free (struct wy_platform_replica *r)
{
  if (r->server)
    wy_h1_server_free (r->server);
  wy_platform_replica_release_port (r);
  uv_close ((uv_handle_t *)&r->load_timer, NULL);
  uv_close ((uv_handle_t *)&r->crash_timer, NULL);
}

/* Return the port that R listens on.  */
uint16_t
wy_platform_replica_port (const struct wy_platform_replica *r)
{
  return r->port;
}

/* Return the injected faults of R, which may be changed at any time.  */
struct wy_platform_replica_faults *
wy_platform_replica_faults (struct wy_platform_replica *r)
{
  return &r->faults;
}

/* Return the number of requests and items that have started to run.  */
uint32_t
wy_platform_replica_runs (const struct wy_platform_replica *r)
{
  return r->runs;
}

/* Return the number of requests and items in progress.  */
uint32_t
wy_platform_replica_running (const struct wy_platform_replica *r)
{
  return r->running;
}

/* Return the number of open connections.  */
uint32_t
wy_platform_replica_connections (const struct wy_platform_replica *r)
{
  return r->server ? wy_h1_server_connections (r->server) : 0;
}

/* Return the Last-Event-Id of the last stream, 0 if it had none.  */
int64_t
wy_platform_replica_last_resume (const struct wy_platform_replica *r)
{
  return r->last_resume;
}
