/* The modules of an entry with stand-ins of the platform, on one event
   loop.  */
#include "platform_fixture.h"

#include <string.h>

#include "platform/replica_wire.h"

enum
{
  RUN_LIMIT_MS = 20000,
  RUN_STEP_MS = 2,
  CLOSE_ROUNDS = 200,
  SLOTS = 4,
  EVENT_MS = 2
};

static uint64_t
now_ms (void)
{
  return uv_hrtime () / 1000000;
}

static void
on_step (uv_timer_t *t)
{
}

static void
run_once (struct platform_fixture *w)
{
  uv_timer_t step;

  uv_timer_init (&w->loop, &step);
  uv_timer_start (&step, on_step, RUN_STEP_MS, 0);
  uv_run (&w->loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)&step, NULL);
  uv_run (&w->loop, UV_RUN_NOWAIT);
}

/* Run the loop until COND returns true; false on timeout.  */
bool
platform_fixture_run_until (struct platform_fixture *w,
                            bool (*cond) (void *ctx), void *ctx)
{
  uint64_t until_ms = now_ms () + RUN_LIMIT_MS;

  while (!cond (ctx))
    {
      if (now_ms () >= until_ms)
        return false;
      run_once (w);
    }
  return true;
}

/* Run the loop for MS milliseconds.  */
void
platform_fixture_run_ms (struct platform_fixture *w, int64_t ms)
{
  uint64_t until_ms = now_ms () + (uint64_t)ms;

  while (now_ms () < until_ms)
    run_once (w);
}

struct sockaddr_in
platform_loopback (uint16_t port)
{
  struct sockaddr_in a;

  uv_ip4_addr ("127.0.0.1", port, &a);
  return a;
}

/* A port that is not in use at present.  */
uint16_t
platform_fixture_free_port (struct platform_fixture *w)
{
  uv_tcp_t probe;
  struct sockaddr_in a = platform_loopback (0);
  int n = sizeof a;

  uv_tcp_init (&w->loop, &probe);
  uv_tcp_bind (&probe, (const struct sockaddr *)&a, 0);
  uv_tcp_getsockname (&probe, (struct sockaddr *)&a, &n);
  uv_close ((uv_handle_t *)&probe, NULL);
  uv_run (&w->loop, UV_RUN_NOWAIT);
  return ntohs (a.sin_port);
}

/* Start a store, and create a client for callers.  */
void
platform_fixture_init (struct platform_fixture *w)
{
  struct wy_platform_store_options s = { .loop = &w->loop };
  struct wy_h1_client_options h = { .loop = &w->loop,
                                    .connect_timeout_ms = 500,
                                    .idle_timeout_ms = 5000 };

  memset (w, 0, sizeof *w);
  uv_loop_init (&w->loop);
  w->store = wy_platform_store_new (&s);
  w->client = wy_h1_client_new (&h);
}

static void
make_counters (struct platform_fixture *w)
{
  struct wy_gate_counters *c = &w->env.count;
  uint64_t **counters[] = { &c->requests,      &c->answered,
                            &c->refused,       &c->failed,
                            &c->hung_up,       &c->retries,
                            &c->held_back,     &c->hedges,
                            &c->item_runs,     &c->runs_interrupted,
                            &c->run_crashes,   &c->crash_probes,
                            &c->items_done,    &c->item_runs_failed,
                            &c->jobs_accepted, &c->jobs_taken_over,
                            &c->score_calls,   &c->score_calls_failed,
                            &c->score_hedges,  &c->waits };
  char name[32];

  w->metrics = wy_metrics_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    {
      g_snprintf (name, sizeof name, "c%zu", i);
      *counters[i] = wy_metrics_counter (w->metrics, name, "");
    }
  c->latency_us = wy_metrics_histogram (w->metrics, "latency", "");
  c->score_us = wy_metrics_histogram (w->metrics, "score", "");
  c->item_us = wy_metrics_histogram (w->metrics, "item", "");
  c->requests_ended = wy_metrics_counter_family (w->metrics, "ended", "", 64);
  c->latency_by_route
      = wy_metrics_histogram_family (w->metrics, "latency_by", "", 16);
  c->told = wy_metrics_counter_family (w->metrics, "told", "", 64);
  c->told_us = wy_metrics_histogram_family (w->metrics, "told_us", "", 16);
  c->run_permits = wy_metrics_counter_family (w->metrics, "permits", "", 8);
  c->returned = wy_metrics_counter_family (w->metrics, "returned", "", 64);
  c->malformed = wy_metrics_counter_family (w->metrics, "malformed", "", 8);
}

/* Create the modules that all parts of the entry NODE share.  */
void
platform_fixture_add_env (struct platform_fixture *w, const char *node)
{
  struct wy_h1_client_options h = { .loop = &w->loop,
                                    .connect_timeout_ms = 500,
                                    .idle_timeout_ms = 5000 };
  struct wy_rows_options r
      = { .loop = &w->loop, .clock = wy_clock_system (), .seed = 7 };
  struct wy_rejections_options rejections;

  w->has_env = true;
  w->env.loop = &w->loop;
  w->env.clock = wy_clock_system ();
  w->env.node = node;
  w->env.holder = g_strconcat (node, "/1", NULL);
  w->env.availability_zone = "z1";
  w->env.entries = 1;
  w->env.http = wy_h1_client_new (&h);
  r.http = w->env.http;
  r.address = platform_loopback (wy_platform_store_port (w->store));
  w->env.rows = wy_rows_new (&r);
  w->env.targets = wy_targets_new (7);
  wy_rng_seed (&w->env.rng, 7);
  make_counters (w);
  rejections
      = (struct wy_rejections_options){ .clock = w->env.clock,
                                        .rows = w->env.rows,
                                        .seed = 7,
                                        .told = w->env.count.told,
                                        .told_us = w->env.count.told_us,
                                        .returned = w->env.count.returned };
  w->env.rejections = wy_rejections_new (&rejections);
}

/* Pass the present rows of all replicas to the entry's targets, as the list
   does.  */
void
platform_fixture_list_replicas (struct platform_fixture *w)
{
  for (uint32_t i = 0; i < w->n_replicas; i++)
    {
      const char *id = wy_platform_replica_id (w->replicas[i]);
      char *row = wy_platform_replica_row_value (
          w->replicas[i], w->services[i], "ready", NULL);
      struct wy_replica info;

      if (!wy_replica_decode (id, row, strlen (row), &info))
        wy_targets_set (w->env.targets, &info);
      g_free (row);
    }
}

static struct wy_platform_replica *
add_replica (struct platform_fixture *w, const char *service,
             const char *model, uint32_t events)
{
  static const char *const ids[] = { "i-1", "i-2", "i-3", "i-4" };
  struct wy_platform_replica_options o = { .loop = &w->loop,
                                           .id = ids[w->n_replicas],
                                           .slots = SLOTS,
                                           .events = events,
                                           .event_ms = EVENT_MS,
                                           .model = model };
  struct wy_platform_replica *r = wy_platform_replica_new (&o);
  char *entry = wy_platform_replica_row_value (r, service, "ready", NULL);
  struct wy_replica info;

  if (!wy_replica_decode (o.id, entry, strlen (entry), &info))
    wy_targets_set (w->env.targets, &info);
  wy_platform_store_put (w->store, WY_REPLICA_TABLE, "", o.id, entry);
  g_free (entry);
  w->services[w->n_replicas] = service;
  w->replicas[w->n_replicas++] = r;
  return r;
}

/* Add a replica of the service "svc" to the store and to the entry's
   targets.  */
struct wy_platform_replica *
platform_fixture_add_replica (struct platform_fixture *w, const char *model,
                              uint32_t events)
{
  return add_replica (w, "svc", model, events);
}

static struct wy_route *
add_route (struct wy_routing *r, const char *host, const char *prefix,
           const char *service)
{
  struct wy_route *t = wy_routing_add_route (r);
  struct wy_service *s = wy_routing_add_service (r);
  struct wy_traffic_split split = { g_strdup (service), 1 };

  t->name = g_strdup (prefix);
  t->host = g_strdup (host);
  t->prefix = g_strdup (prefix);
  t->timeout_ms = 2000;
  t->target_latency_ms = 200;
  g_array_append_val (t->splits, split);
  s->name = g_strdup (service);
  wy_routing_sort (r);
  return t;
}

/* Add a replica of the service "desk", to which the route "/s/" of HOST
   leads.  */
struct wy_platform_replica *
platform_fixture_add_scorer (struct platform_fixture *w, const char *host)
{
  if (!wy_routing_match (w->env.routing, host, "/s/"))
    add_route (w->env.routing, host, "/s/", "desk")->attempts = 2;
  return add_replica (w, "desk", NULL, 0);
}

/* Set the routing to one route, from host "h" and prefix "/p/" to the service
   "svc".  */
void
platform_fixture_set_routing (struct platform_fixture *w,
                              enum wy_route_kind kind, uint32_t attempts)
{
  struct wy_routing *r = wy_routing_new ();
  struct wy_route *t = add_route (r, "h", "/p/", "svc");

  r->version = 1;
  r->body_limit_bytes = 1 << 20;
  r->header_limit_bytes = 1 << 16;
  t->kind = kind;
  t->attempts = attempts;
  t->resumable = kind == WY_ROUTE_STREAM;
  t->retention_ms = 40000;
  wy_routing_free (w->env.routing);
  w->env.routing = r;
}

/* Free everything.  */
void
platform_fixture_free (struct platform_fixture *w)
{
  for (uint32_t i = 0; i < w->n_replicas; i++)
    wy_platform_replica_free (w->replicas[i]);
  wy_platform_store_free (w->store);
  if (w->has_env)
    {
      wy_rows_free (w->env.rows);
      wy_h1_client_close (w->env.http);
    }
  wy_h1_client_close (w->client);
  for (int i = 0; i < CLOSE_ROUNDS; i++)
    uv_run (&w->loop, UV_RUN_NOWAIT);
}

static void
on_head (void *ctx, const struct wy_h1_response *h)
{
  struct platform_response *a = ctx;

  a->status = h->status;
  a->response_stamp = g_strdup (wy_h1_head_get (h->head, "Response-Stamp"));
  a->retry_after = g_strdup (wy_h1_head_get (h->head, "Retry-After"));
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  g_string_append_len (((struct platform_response *)ctx)->body, p, (gssize)n);
}

static void
on_end (void *ctx, int err)
{
  struct platform_response *a = ctx;

  a->done = true;
  a->err = err;
  a->call = NULL;
}

/* Send a request to PORT on loopback as a caller does.  */
struct platform_response *
platform_fixture_call (struct platform_fixture *w, uint16_t port,
                       const char *method, const char *target,
                       const struct wy_h1_header *fields, size_t n_fields,
                       const char *body)
{
  struct platform_response *a = g_new0 (struct platform_response, 1);
  struct wy_h1_call_options o = { .address = platform_loopback (port),
                                  .method = method,
                                  .target = target,
                                  .fields = fields,
                                  .n_fields = n_fields,
                                  .body = body,
                                  .body_size_bytes = body ? strlen (body) : 0,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = a };

  a->body = g_string_new (NULL);
  a->call = wy_h1_call_start (w->client, &o);
  return a;
}

bool
platform_response_done (void *response)
{
  return ((struct platform_response *)response)->done;
}

void
platform_response_free (struct platform_response *a)
{
  if (a->call)
    wy_h1_call_cancel (a->call);
  g_string_free (a->body, TRUE);
  g_free (a->response_stamp);
  g_free (a->retry_after);
  g_free (a);
}
