/* Status of an entry: what it knows of the configuration, the store, other
   entries, replicas and jobs, and the age of that.  Read by wyctl status.  */
#include "gate/status.h"

#include <stdlib.h>

#include <jansson.h>

#include "jobs/demand.h"

enum
{
  /* Jobs in the status, running ones first.  Thousands that have ended would
     be of no use.  */
  JOBS_SHOWN_MAX = 100
};

static json_t *
integer (int64_t v)
{
  return json_integer ((json_int_t)v);
}

static json_t *
config_of (const struct wy_gate *g)
{
  const struct wy_routing *r = g->env.routing;

  return json_pack ("{s:o, s:i, s:i, s:o}", "version",
                    integer (r ? r->version : 0), "routes",
                    r ? (int)r->routes->len : 0, "organisations",
                    r && r->orgs ? (int)wy_orgs_count (r->orgs) : 0, "age_ms",
                    integer (wy_watch_age_ms (g->operator_watch)));
}

/* The entry that performs the duties, as last observed here, and the usage
   reports of this entry.  */
static json_t *
duties_of (const struct wy_gate *g)
{
  struct wy_election_status v = { .holder = "" };
  struct wy_usage_stats usage = { 0 };

  if (g->election)
    wy_election_status (g->election, &v);
  if (g->env.usage)
    wy_usage_stats (g->env.usage, &usage);
  return json_pack ("{s:s, s:o, s:b, s:o, s:o, s:o}", "holder", v.holder,
                    "generation", integer (v.generation), "held_here",
                    v.held_here, "usage_window", integer (usage.last_window),
                    "usage_reported", integer ((int64_t)usage.reported),
                    "usage_missed",
                    integer ((int64_t)(usage.missed + usage.rejected)));
}

static json_t *
store_of (const struct wy_gate *g)
{
  struct wy_rows_stats s;

  wy_rows_stats (g->env.rows, &s);
  return json_pack ("{s:s, s:o, s:o, s:o}", "path",
                    s.direct_ok ? "direct" : "through a peer", "calls",
                    integer ((int64_t)s.calls), "failed",
                    integer ((int64_t)(s.direct_failed + s.relay_failed)),
                    "through_peers", integer ((int64_t)s.relayed));
}

static void
add_member (void *ctx, const struct wy_member_view *m)
{
  json_array_append_new (ctx,
                         json_pack ("{s:s, s:s, s:s, s:o}", "node", m->node,
                                    "holder", m->holder, "state", m->state,
                                    "silent_ms", integer (m->silent_ms)));
}

static json_t *
entries_of (const struct wy_gate *g)
{
  json_t *list = json_array ();

  wy_members_each (g->members, add_member, list);
  return list;
}

static json_t *
models_of (const struct wy_target *t)
{
  GString *s = g_string_new (NULL);
  json_t *text;

  for (uint32_t i = 0; i < t->info.n_models; i++)
    g_string_append_printf (s, "%s%s=%lld", i ? " " : "",
                            t->info.models[i].model,
                            (long long)t->info.models[i].version);
  text = json_string (s->str);
  g_string_free (s, TRUE);
  return text;
}

/* The pace of T by kind of work.  */
static json_t *
pace_of (const struct wy_target *t)
{
  return json_pack ("{s:f, s:f, s:f}", "request", t->pace[WY_WORK_REQUEST].ms,
                    "event", t->pace[WY_WORK_EVENT].ms, "score",
                    t->pace[WY_WORK_SCORE].ms);
}

struct replicas
{
  const struct wy_gate *gate;
  json_t *list;
};

static void
add_replica (void *ctx, const struct wy_target *t)
{
  struct replicas *r = ctx;
  int64_t now_ms = wy_clock_mono_ms (r->gate->env.clock);
  const char *state = !t->listed                   ? "gone"
                      : t->info.draining           ? "leaving"
                      : now_ms < t->avoid_until_ms ? "avoided"
                                                   : "ready";

  json_array_append_new (
      r->list,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:o, s:o, s:i, s:o}", "id",
                 t->info.id, "service", t->info.service, "zone",
                 t->info.availability_zone, "state", state, "in_flight",
                 (int)t->in_flight, "load", (int)t->reported_load,
                 "load_age_ms",
                 integer (t->reported_ms ? now_ms - t->reported_ms : -1),
                 "pace_ms", pace_of (t), "failures", (int)t->failures,
                 "versions", models_of (t)));
}

static json_t *
replicas_of (const struct wy_gate *g)
{
  struct replicas r = { g, json_array () };

  wy_targets_each (g->env.targets, add_replica, &r);
  return r.list;
}

static void
add_job (void *ctx, const struct wy_job_view *j)
{
  json_t *list = ctx;

  if (json_array_size (list) < JOBS_SHOWN_MAX)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s, s:b, s:i, s:i, s:o}", "id", j->id,
                         "state", j->state, "holder", j->holder, "here",
                         j->runs_here, "listed", (int)j->listed, "of",
                         (int)j->total_items, "age_ms", integer (j->age_ms)));
}

static json_t *
jobs_of (const struct wy_gate *g)
{
  json_t *list = json_array ();

  wy_jobs_each (g->jobs, true, add_job, list);
  wy_jobs_each (g->jobs, false, add_job, list);
  return list;
}

static void
add_model (void *ctx, const struct wy_demand_view *v)
{
  json_array_append_new (ctx, json_pack ("{s:s, s:s, s:f, s:i}", "service",
                                         v->service, "model", v->model,
                                         "need_slots", v->need,
                                         "share_replicas", (int)v->replicas));
}

/* Need and share of each model of the services whose jobs run here.  */
static json_t *
shares_of (const struct wy_gate *g)
{
  json_t *list = json_array ();

  wy_demand_each (g->env.demand, add_model, list);
  return list;
}

/* The status of G as JSON; the caller frees it.  */
char *
wy_gate_status (const struct wy_gate *g)
{
  json_t *doc = json_pack (
      "{s:s, s:s, s:b, s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o}", "node",
      g->env.node, "holder", g->env.holder, "stopping",
      g->stop_requested_ms != 0, "config", config_of (g), "duties",
      duties_of (g), "store", store_of (g), "entries_age_ms",
      integer (wy_members_age_ms (g->members)), "entries", entries_of (g),
      "replicas_age_ms", integer (wy_watch_age_ms (g->replica_watch)),
      "replicas", replicas_of (g), "models", shares_of (g), "jobs",
      jobs_of (g));
  char *text = json_dumps (doc, JSON_COMPACT);
  char *out = g_strdup (text);

  free (text);
  json_decref (doc);
  return out;
}
