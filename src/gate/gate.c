/* The gate: its listeners and startup.  */
#include "gate/gate_state.h"

#include <stdio.h>
#include <string.h>

#include "gate/crash_watch.h"
#include "gate/response.h"
#include "gate/status.h"
#include "gate/suspect_peers.h"
#include "h1/malformed_log.h"
#include "platform/replica_wire.h"
#include "trace/json_log.h"

/* Request target of the status on the metrics listener; wyctl reads it.  */
#define STATUS_TARGET "/v1/status"

enum
{
  CONNECT_TIMEOUT_MS = 400,
  /* Idle connections are closed after this time.  Peers that close them sooner
     announce it in their responses.  */
  TARGET_IDLE_TIMEOUT_MS = 60000,
  TICK_MS = 200,
  /* Bodies of readiness checks and of requests for metrics are not used.  */
  PROBE_BODY_BYTES = 4096,
  PROBE_BUFFERED_BYTES = 65536,
  /* Connections to one target that an entry may always have, even if its share
     of the limit is smaller.  */
  CONNECTIONS_MIN = 1,
  /* An entry may exceed its share for its jobs, up to the limit divided by
     this.  */
  JOBS_CONNECTIONS_DIVISOR = 4
};

/* Number of requests that this entry may have in flight to one target of
   SERVICE: its share of the connections that the target accepts from all
   entries together.  0: no limit.  */
uint32_t
wy_gate_in_flight_limit (const struct wy_gate_env *env, const char *service)
{
  const struct wy_service *s = wy_routing_service (env->routing, service);
  uint32_t share;
  uint32_t slots;

  if (!s || !s->connection_limit)
    return 0;
  share = s->connection_limit / env->entries;
  /* Few entries run jobs at a time, and a single one can use all slots.  */
  slots = MIN (s->slots, s->connection_limit / JOBS_CONNECTIONS_DIVISOR);
  return MAX (MAX (share, slots), CONNECTIONS_MIN);
}

static bool
is_ready (const struct wy_gate *g)
{
  return !g->stop_requested_ms && g->env.routing
         && wy_watch_is_synced (g->replica_watch);
}

static void
on_ready_check (void *ctx, struct wy_h1_request *r)
{
  bool ready = is_ready (ctx);

  wy_respond_status (r, ready ? 200 : 503, ready ? "ready" : "not_ready", 0);
}

struct forward
{
  struct wy_h1_request *request;
};

static void
on_forwarded (void *ctx, int status, const char *body, size_t n)
{
  static const struct wy_h1_header type
      = { "Content-Type", "application/json" };
  struct forward *f = ctx;

  if (f->request)
    wy_h1_respond (f->request, status, &type, 1, body, n);
  g_free (f);
}

static void
on_forward_hangup (void *ctx)
{
  ((struct forward *)ctx)->request = NULL;
}

/* Handle a request of another process of the system: the handoff of a job, or
   a store call that this entry relays for a process which can't reach the
   store directly.  */
static void
on_peer (void *ctx, struct wy_h1_request *r)
{
  struct wy_gate *g = ctx;
  struct forward *f;
  const char *body;
  size_t n;

  if (wy_jobs_accept_handoff (g->jobs, r)
      || wy_suspect_peers_handle (g->env.suspect_peers, r))
    return;
  f = g_new0 (struct forward, 1);
  f->request = r;
  wy_h1_on_hangup (r, on_forward_hangup, f);
  body = wy_h1_body (r, &n);
  wy_rows_forward (g->env.rows, wy_h1_method (r), wy_h1_target (r), body, n,
                   on_forwarded, f);
}

static void
on_metrics (void *ctx, struct wy_h1_request *r)
{
  static const struct wy_h1_header type
      = { "Content-Type", "text/plain; version=0.0.4" };
  static const struct wy_h1_header json
      = { "Content-Type", "application/json" };
  struct wy_gate *g = ctx;
  GString *out;

  if (!strcmp (wy_h1_target (r), STATUS_TARGET))
    {
      char *text = wy_gate_status (g);

      wy_h1_respond (r, 200, &json, 1, text, strlen (text));
      g_free (text);
      return;
    }
  out = g_string_new (NULL);
  wy_gate_update_gauges (g);
  wy_metrics_print (g->metrics, out);
  wy_h1_respond (r, 200, &type, 1, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Log that the gate can't start since ADDRESS, which SETTING names, can't be
   used because of libuv's error ERR.  */
static void
address_failed (struct wy_gate *g, const char *setting, const char *address,
                int err)
{
  wy_json_log ("process.not_started", "setting=%s address=%s error=%s",
               setting, address, uv_err_name (err));
  if (g->o.reason)
    g_string_printf (g->o.reason, "%s %s: %s", setting, address,
                     uv_strerror (err));
}

/* One of the addresses that a gate listens at.  */
struct listener
{
  struct wy_h1_server **server;
  const char *setting; /* that names the address */
  const char *address;
  const char *name; /* in logs */
  uint32_t connections;
  uint32_t requests_per_turn; /* 0: that of the settings */
  uint32_t body_bytes;
  uint64_t buffered_bytes;
  void (*on_request) (void *ctx, struct wy_h1_request *r);
};

static int
listen_at (struct wy_gate *g, const struct listener *l)
{
  const struct wy_gate_settings *s = g->o.settings;
  struct sockaddr_in a;
  char ip[INET_ADDRSTRLEN];
  int system_error = 0;
  int err;
  bool callers = l->on_request == wy_gate_on_request;
  struct wy_h1_server_options o
      = { .loop = g->o.loop,
          .host = ip,
          .name = l->name,
          .limits = { .header_bytes = WY_GATE_INITIAL_HEADER_BYTES,
                      .body_bytes = l->body_bytes,
                      .header_timeout_ms = WY_GATE_INITIAL_HEADER_TIMEOUT_MS,
                      .idle_timeout_ms = WY_GATE_INITIAL_IDLE_TIMEOUT_MS,
                      .buffered_bytes = l->buffered_bytes },
          .clients = { .connections = l->connections,
                       .unread_bytes = (uint32_t)s->unread_response_bytes,
                       .requests_per_turn
                       = l->requests_per_turn ? l->requests_per_turn
                                              : (uint32_t)s->requests_per_turn,
                       .reader_timeout_ms
                       = (uint32_t)(s->reader_timeout_s * WY_MS_PER_S) },
          .overload = g->overload,
          .memory = &g->env.memory,
          .on_request = l->on_request,
          .on_no_memory = callers ? wy_gate_on_no_memory : NULL,
          .may_reject = callers ? wy_gate_may_reject_body : NULL,
          .on_shed = wy_gate_on_shed_caller,
          .ctx = g,
          .system_error = &system_error };

  if (!wy_address_parse (l->address, &a))
    {
      address_failed (g, l->setting, l->address, UV_EINVAL);
      return WY_H1_EBIND;
    }
  uv_ip4_name (&a, ip, sizeof ip);
  o.port = ntohs (a.sin_port);
  err = wy_h1_server_new (l->server, &o);
  if (err)
    address_failed (g, l->setting, l->address, system_error);
  return err;
}

static int
start_servers (struct wy_gate *g)
{
  const struct wy_gate_settings *s = g->o.settings;
  uint32_t body_bytes = (uint32_t)s->object_bytes * 2;
  uint64_t buffered_bytes
      = (uint64_t)s->memory_mb * WY_GATE_MB / WY_GATE_BODY_MEMORY_DIVISOR;
  struct wy_client_shares shares = wy_gate_client_shares (g);
  const struct listener all[] = {
    { .server = &g->caller_server,
      .setting = "callers_address",
      .address = s->callers,
      .name = "callers",
      .connections = shares.callers,
      .body_bytes = body_bytes,
      .buffered_bytes = buffered_bytes,
      .on_request = wy_gate_on_request },
    { .server = &g->ready_server,
      .setting = "ready_address",
      .address = s->ready,
      .name = "ready",
      .connections = shares.readiness,
      .body_bytes = PROBE_BODY_BYTES,
      .buffered_bytes = PROBE_BUFFERED_BYTES,
      .on_request = on_ready_check },
    { .server = &g->peer_server,
      .setting = "peers_address",
      .address = s->peers,
      .name = "peers",
      .connections = shares.peers,
      .body_bytes = body_bytes,
      .buffered_bytes = buffered_bytes,
      .on_request = on_peer },
    /* One document a turn, since each lists hundreds of values.  */
    { .server = &g->metrics_server,
      .setting = "metrics_address",
      .address = s->metrics,
      .name = "metrics",
      .connections = shares.metrics,
      .requests_per_turn = 1,
      .body_bytes = PROBE_BODY_BYTES,
      .buffered_bytes = PROBE_BUFFERED_BYTES,
      .on_request = on_metrics },
  };
  int err = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (all) && !err; i++)
    if (*all[i].address || all[i].server != &g->metrics_server)
      err = listen_at (g, &all[i]);
  return err;
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_gate *g = t->data;
  bool ready = is_ready (g);

  if (ready != g->was_ready)
    {
      g->was_ready = ready;
      wy_json_log (ready ? "process.ready" : "process.not_ready",
                   "config=%lld targets_age_ms=%lld",
                   g->env.routing ? (long long)g->env.routing->version : 0LL,
                   (long long)wy_watch_age_ms (g->replica_watch));
    }
  wy_crash_watch_check_list (&g->env, wy_watch_is_synced (g->replica_watch)
                                          ? wy_watch_age_ms (g->replica_watch)
                                          : -1);
  wy_gate_log_memory_level (g);
  if (g->stop_requested_ms)
    wy_gate_check_stop (g);
}

static uint32_t
idle_connections (const void *client, const struct sockaddr_in *a)
{
  return wy_h1_client_idle_count (client, a);
}

static void
on_malformed (void *ctx, const struct wy_h1_malformed *m)
{
  const struct wy_gate *g = ctx;

  wy_h1_log_malformed (m);
  wy_h1_count_malformed (g->env.count.malformed, m);
}

static int
start_store (struct wy_gate *g)
{
  struct wy_h1_client_options http
      = { .loop = g->o.loop,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .idle_timeout_ms = TARGET_IDLE_TIMEOUT_MS,
          .memory = &g->env.memory,
          .on_shed = wy_gate_on_shed_peer,
          .on_malformed = on_malformed,
          .ctx = g };
  struct wy_rows_options rows
      = { .loop = g->o.loop,
          .clock = g->o.clock,
          .seed = wy_hash64 (g->incarnation, WY_ID_LEN, 1),
          .memory = &g->env.memory,
          .object_bytes = (size_t)g->o.settings->object_bytes };
  struct wy_rejections_options rejections
      = { .clock = g->o.clock,
          .seed = wy_hash64 (g->incarnation, WY_ID_LEN, 5),
          .told = g->env.count.told,
          .told_us = g->env.count.told_us,
          .returned = g->env.count.returned };

  if (!wy_address_parse (g->o.settings->store, &rows.address))
    {
      address_failed (g, "store_address", g->o.settings->store, UV_EINVAL);
      return WY_H1_EBIND;
    }
  g->env.http = wy_h1_client_new (&http);
  rows.http = g->env.http;
  g->env.rows = wy_rows_new (&rows);
  rejections.rows = g->env.rows;
  g->env.rejections = wy_rejections_new (&rejections);
  wy_targets_set_idle_count (g->env.targets, idle_connections, g->env.http);
  return 0;
}

/* Start a gate with the options O and store it in OUT.  Returns 0, or
   WY_H1_EBIND if an address is invalid or can't be bound.  */
int
wy_gate_new (struct wy_gate **out, const struct wy_gate_options *o)
{
  struct wy_gate *g = g_new0 (struct wy_gate, 1);
  int err;

  g->o = *o;
  wy_id_new (o->clock, g->incarnation);
  g->holder = g_strconcat (o->settings->name, "/", g->incarnation, NULL);
  wy_json_log_open (o->loop, o->settings->name, g->incarnation);
  wy_json_log ("process.start", "zone=%s store=%s memory_mb=%lld",
               o->settings->availability_zone, o->settings->store,
               (long long)o->settings->memory_mb);
  g->metrics = wy_metrics_new ();
  wy_gate_register_metrics (g);
  g->env.loop = o->loop;
  g->env.clock = o->clock;
  g->env.node = o->settings->name;
  g->env.holder = g->holder;
  g->env.availability_zone = o->settings->availability_zone;
  g->env.entries = 1;
  wy_crash_watch_init (&g->env);
  wy_memory_account_init (
      &g->env.memory,
      wy_memory_budget_bytes (o->settings->memory_mb * WY_GATE_MB));
  g->env.read_pauses = wy_read_pauses_new (o->loop, &g->env.memory);
  wy_gate_start_overload (g);
  wy_rng_seed (&g->env.rng, wy_hash64 (g->incarnation, WY_ID_LEN, 0));
  g->env.targets = wy_targets_new (wy_hash64 (g->incarnation, WY_ID_LEN, 4));
  g->seeds = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  wy_gate_set_seeds (g, o->settings);
  err = start_store (g);
  if (!err)
    err = start_servers (g);
  if (err)
    return err;
  wy_gate_start_watches (g);
  err = wy_gate_start_duties (g);
  if (err)
    {
      address_failed (g, "platform_address", o->settings->platform, UV_EINVAL);
      return err;
    }
  uv_timer_init (o->loop, &g->tick);
  g->tick.data = g;
  uv_timer_start (&g->tick, on_tick, TICK_MS, TICK_MS);
  *out = g;
  return 0;
}

/* Apply changed settings S.  Only the seeds can change.  */
void
wy_gate_reload (struct wy_gate *g, const struct wy_gate_settings *s)
{
  wy_gate_set_seeds (g, s);
  wy_gate_set_relays (g);
  wy_json_log ("process.reloaded", "seeds=%u", g->seeds->len);
}

/* Close all handles of G.  The loop must run a few more iterations
   afterwards.  */
void
wy_gate_free (struct wy_gate *g)
{
  wy_h1_server_free (g->caller_server);
  wy_h1_server_free (g->ready_server);
  wy_h1_server_free (g->peer_server);
  if (g->metrics_server)
    wy_h1_server_free (g->metrics_server);
  wy_h1_overload_close (g->overload);
  wy_gate_free_duties (g);
  wy_jobs_free (g->jobs);
  wy_suspect_peers_free (g->env.suspect_peers);
  wy_members_free (g->members);
  wy_watch_free (g->operator_watch);
  wy_watch_free (g->replica_watch);
  wy_rows_free (g->env.rows);
  wy_h1_client_close (g->env.http);
  wy_read_pauses_free (g->env.read_pauses);
  uv_close ((uv_handle_t *)&g->tick, NULL);
}
