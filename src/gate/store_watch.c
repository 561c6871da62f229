/* Watches on the store: the operator's configuration, replicas, other entries
   and jobs.  */
#include "gate/gate_state.h"

#include <string.h>

#include "gate/crash_watch.h"
#include "gate/suspect_peers.h"
#include "jobs/model_shares.h"
#include "platform/config_wire.h"
#include "platform/replica_wire.h"
#include "trace/json_log.h"

enum
{
  /* Minimum interval between two waits for changes of a table: well under the
     time within which a change must take effect everywhere.  */
  WATCH_INTERVAL_MS = 150,
  RELAYS_MAX = 32
};

/* Set the limits on callers' requests from the current configuration.  */
void
wy_gate_set_limits (struct wy_gate *g)
{
  const struct wy_routing *r = g->env.routing;
  struct wy_h1_limits l
      = { .header_bytes
          = r ? r->header_limit_bytes : WY_GATE_INITIAL_HEADER_BYTES,
          .body_bytes = r ? r->body_limit_bytes : WY_GATE_INITIAL_BODY_BYTES,
          .header_timeout_ms
          = r ? r->header_timeout_ms : WY_GATE_INITIAL_HEADER_TIMEOUT_MS,
          .idle_timeout_ms
          = r ? r->idle_timeout_ms : WY_GATE_INITIAL_IDLE_TIMEOUT_MS,
          .buffered_bytes = (uint64_t)g->o.settings->memory_mb * WY_GATE_MB
                            / WY_GATE_BODY_MEMORY_DIVISOR };

  wy_h1_server_set_limits (g->caller_server, &l);
}

/* Apply the configuration in ROW unless the current one is as new: rows may
   arrive in any order, and the version only increases.  */
static void
apply_config (struct wy_gate *g, const struct wy_row *row)
{
  const char *reason;
  struct wy_routing *r
      = wy_config_decode (row->value, row->size_bytes, &reason);

  if (!r)
    {
      wy_json_log ("config.rejected", "row_version=%lld reason=%s",
                   (long long)row->version, reason);
      return;
    }
  if (g->env.routing && g->env.routing->version >= r->version)
    {
      wy_routing_free (r);
      return;
    }
  wy_json_log ("config.in_force", "version=%lld before=%lld routes=%u",
               (long long)r->version,
               g->env.routing ? (long long)g->env.routing->version : 0LL,
               r->routes->len);
  wy_routing_free (g->env.routing);
  g->env.routing = r;
  wy_gate_set_limits (g);
}

static void
announce_version (struct wy_gate *g, const struct wy_row *row)
{
  struct wy_requested_version v;

  if (wy_requested_version_decode (row->value, row->size_bytes, &v))
    wy_jobs_version_announced (g->jobs, v.model, v.version);
  else
    wy_json_log ("version.rejected", "key=%s row_version=%lld", row->key,
                 (long long)row->version);
}

static void
on_operator_row (void *ctx, const struct wy_row *row)
{
  if (row->deleted)
    return;
  switch (wy_operator_row_kind (row->key))
    {
    case WY_OPERATOR_CONFIG:
      apply_config (ctx, row);
      break;
    case WY_OPERATOR_VERSION:
      announce_version (ctx, row);
      break;
    case WY_OPERATOR_OTHER:
      break;
    }
}

/* The target T has restarted under the same id, as its row INFO shows.  Close
   idle connections, which lead to the previous process: a request on one would
   fail, or time out if the previous host lost power.  */
static void
target_restarted (struct wy_gate *g, struct wy_target *t,
                  const struct wy_replica *info)
{
  wy_json_log ("target.restarted",
               "id=%s started_ms=%lld started_before_ms=%lld", info->id,
               (long long)info->started_ms, (long long)t->info.started_ms);
  if (!t->info.draining)
    wy_crash_watch_target_ended (&g->env, t);
  wy_h1_client_close_idle (g->env.http, &t->info.address);
}

/* G has started.  If another target had its address, that one has ended, which
   the list shows only when its row lapses.  */
static void
target_started (struct wy_gate *g, const struct wy_target *t)
{
  struct wy_target *ended = wy_targets_find_replaced (g->env.targets, t);

  if (!ended || ended->info.draining
      || ended->crashed_incarnation == ended->incarnation)
    return;
  wy_json_log ("target.replaced", "id=%s service=%s started_ms=%lld by=%s",
               ended->info.id, ended->info.service,
               (long long)ended->info.started_ms, t->info.id);
  wy_crash_watch_target_ended (&g->env, ended);
}

static void
on_replica_row (void *ctx, const struct wy_row *row)
{
  struct wy_gate *g = ctx;
  struct wy_replica info;
  struct wy_target *t = wy_targets_find (g->env.targets, row->key);
  bool is_start;
  const char *invalid_field;

  if (row->deleted)
    {
      wy_json_log ("target.gone", "id=%s service=%s version=%lld", row->key,
                   t ? t->info.service : "", (long long)row->version);
      if (t && !t->info.draining)
        wy_crash_watch_target_ended (&g->env, t);
      wy_targets_remove (g->env.targets, row->key);
      return;
    }
  invalid_field
      = wy_replica_decode (row->key, row->value, row->size_bytes, &info);
  if (invalid_field)
    {
      wy_json_log ("target.rejected", "id=%s version=%lld field=%s", row->key,
                   (long long)row->version, invalid_field);
      wy_targets_remove (g->env.targets, row->key);
      return;
    }
  if (wy_watch_is_synced (g->replica_watch)
      && (!t || t->info.draining != info.draining || !t->listed))
    wy_json_log ("target.seen",
                 "id=%s service=%s zone=%s draining=%d version=%lld", info.id,
                 info.service, info.availability_zone, info.draining,
                 (long long)row->version);
  if (t && t->info.started_ms != info.started_ms)
    target_restarted (g, t, &info);
  is_start = !t || !t->listed || t->info.started_ms != info.started_ms;
  t = wy_targets_set (g->env.targets, &info);
  if (is_start)
    target_started (g, t);
  if (g->jobs)
    wy_jobs_targets_changed (g->jobs);
}

/* Set the peers through which the store client may relay its calls: the known
   entries, or else the seeds.  */
void
wy_gate_set_relays (struct wy_gate *g)
{
  struct sockaddr_in a[RELAYS_MAX];
  size_t n = wy_members_peer_addresses (g->members, a, RELAYS_MAX);

  for (guint i = 0; n == 0 && i < g->seeds->len; i++)
    a[n++] = g_array_index (g->seeds, struct sockaddr_in, i);
  wy_rows_set_relays (g->env.rows, a, n);
}

static void
on_members_changed (void *ctx)
{
  struct wy_gate *g = ctx;

  if (!g->members)
    return;
  wy_gate_set_relays (g);
  wy_suspect_peers_members_changed (g->env.suspect_peers);
}

static void
on_suspects_changed (void *ctx)
{
  struct wy_gate *g = ctx;

  wy_suspect_peers_tell (g->env.suspect_peers);
  wy_members_publish_suspects (g->members);
}

/* Set the seeds from the settings S, without the own address.  */
void
wy_gate_set_seeds (struct wy_gate *g, const struct wy_gate_settings *s)
{
  g_array_set_size (g->seeds, 0);
  for (guint i = 0; i < s->seeds->len; i++)
    {
      const char *text = g_ptr_array_index (s->seeds, i);
      struct sockaddr_in a;

      if (strcmp (text, s->peers) != 0 && wy_address_parse (text, &a))
        g_array_append_val (g->seeds, a);
    }
}

/* Start watching the store's tables of the operator, replicas, entries and
   jobs.  */
void
wy_gate_start_watches (struct wy_gate *g)
{
  uint64_t seed = wy_hash64 (g->incarnation, WY_ID_LEN, 2);
  struct wy_watch_options w = { .loop = g->o.loop,
                                .clock = g->o.clock,
                                .rows = g->env.rows,
                                .table = WY_OPERATOR_TABLE,
                                .min_interval_ms = WATCH_INTERVAL_MS,
                                .seed = seed,
                                .on_row = on_operator_row,
                                .ctx = g };
  struct wy_members_options m = { .env = &g->env,
                                  .address = g->o.settings->peers,
                                  .cpu_share = g->o.settings->cpu_share,
                                  .seed = seed + 2,
                                  .on_change = on_members_changed,
                                  .ctx = g };
  struct wy_jobs_options j
      = { .env = &g->env,
          .seed = seed + 3,
          .max_object_bytes = (uint32_t)g->o.settings->object_bytes,
          .max_row_bytes = (uint32_t)g->o.settings->row_bytes,
          .result_retention_ms
          = (int64_t)(g->o.settings->keep_s * WY_MS_PER_S),
          .memory_limit_bytes = (uint64_t)g->o.settings->memory_mb * WY_GATE_MB
                                / WY_GATE_JOBS_MEMORY_DIVISOR,
          .shares_by_demand
          = g->o.settings->replica_shares == WY_REPLICA_SHARES_DEMAND };

  g->operator_watch = wy_watch_new (&w);
  w.table = WY_REPLICA_TABLE;
  w.on_row = on_replica_row;
  w.seed = seed + 1;
  g->replica_watch = wy_watch_new (&w);
  g->members = wy_members_new (&m);
  g->env.suspect_peers = wy_suspect_peers_new (&g->env, g->members);
  g->env.on_suspects_changed = on_suspects_changed;
  g->env.suspects_ctx = g;
  wy_gate_set_relays (g);
  j.members = g->members;
  g->jobs = wy_jobs_new (&j);
}
