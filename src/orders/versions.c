/* The versions that trainers have requested, and the schedule of their loads
   on this replica.  */
#include "orders/orderer_state.h"

#include <string.h>

#include "decide/weight_loading.h"
#include "jobs/staleness.h"
#include "platform/replica_wire.h"
#include "trace/json_log.h"

enum
{
  RANK_FRESH_MS = 10000,
  LIST_RETRY_MS = 300,
  /* Demands change little from one version to the next, which are announced
     every few seconds by each trainer.  */
  DEMANDS_FRESH_MS = 5000,
  /* Caps the growth of the retry delay while the replica is not listed.  */
  LIST_MISSES_MAX = 7
};

/* Monotonic time in ms.  */
int64_t
wy_orderer_now_ms (const struct wy_orderer_daemon *d)
{
  return wy_clock_mono_ms (d->o.clock);
}

/* The version of MODEL that the replica has reported as loaded; -1: none.  */
int64_t
wy_orderer_loaded_version (const struct wy_orderer_daemon *d,
                           const char *model)
{
  for (uint32_t i = 0; i < d->report.n_models; i++)
    if (!strcmp (d->report.models[i].model, model))
      return d->report.models[i].version;
  return -1;
}

static struct wy_orderer_version *
find_or_add_version (struct wy_orderer_daemon *d, const char *model)
{
  for (uint32_t i = 0; i < d->n_versions; i++)
    if (!strcmp (d->versions[i].v.model, model))
      return &d->versions[i];
  if (d->n_versions == WY_REPLICA_MODELS_MAX)
    return NULL;
  return &d->versions[d->n_versions++];
}

static void
update_version (struct wy_orderer_daemon *d, const struct wy_row *row)
{
  struct wy_requested_version v;
  struct wy_orderer_version *n;

  if (!wy_requested_version_decode (row->value, row->size_bytes, &v))
    {
      wy_json_log ("version.rejected", "key=%s row_version=%lld", row->key,
                   (long long)row->version);
      return;
    }
  n = find_or_add_version (d, v.model);
  if (!n || n->v.version >= v.version)
    return;
  n->v = v;
  n->seen_ms = wy_orderer_now_ms (d);
  n->due_ms = 0;
  wy_json_log ("version.named", "model=%s version=%lld held=%lld", v.model,
               (long long)v.version,
               (long long)wy_orderer_loaded_version (d, v.model));
}

/* Handle a new or changed ROW of the operator's table.  */
void
wy_orderer_on_operator_row (void *ctx, const struct wy_row *row)
{
  struct wy_orderer_daemon *d = ctx;
  struct wy_routing *r;
  const char *why;

  if (row->deleted)
    return;
  switch (wy_operator_row_kind (row->key))
    {
    case WY_OPERATOR_CONFIG:
      r = wy_config_decode (row->value, row->size_bytes, &why);
      if (r && (!d->routing || r->version > d->routing->version))
        {
          wy_routing_free (d->routing);
          d->routing = r;
        }
      else
        wy_routing_free (r);
      break;
    case WY_OPERATOR_VERSION:
      update_version (d, row);
      break;
    case WY_OPERATOR_OTHER:
      break;
    }
}

static const struct wy_service *
own_service (const struct wy_orderer_daemon *d)
{
  return d->routing ? wy_routing_service (d->routing, d->o.settings->service)
                    : NULL;
}

/* Store the position of MODEL among the models of this replica's service in
   INDEX and their number in N.  */
static void
model_index (const struct wy_orderer_daemon *d, const char *model,
             uint32_t *index, uint32_t *n)
{
  const struct wy_service *s = own_service (d);
  uint32_t i = s ? wy_model_index (s, model) : 0;
  bool listed = s && i < s->models->len;

  *index = listed ? i : 0;
  *n = listed ? s->models->len : 1;
}

/* Whether the shares of this service's models depend on their demands.  */
static bool
shares_by_demand (const struct wy_orderer_daemon *d)
{
  const struct wy_service *s = own_service (d);

  return d->o.settings->replica_shares == WY_REPLICA_SHARES_DEMAND && s
         && s->models->len > 1;
}

static void
update_shares (struct wy_orderer_daemon *d)
{
  struct wy_model_shares shares = { 0 };

  if (shares_by_demand (d) && d->demands_read_ms)
    wy_model_shares_compute (&d->demands, own_service (d), d->replicas,
                             d->demands_store_ms, &shares);
  if (wy_model_shares_differ (&shares, &d->shares))
    wy_model_shares_log (&shares, d->o.settings->service, d->replicas);
  d->shares = shares;
}

/* Whether a route to this replica's service requires that each text comes from
   a single version.  */
bool
wy_orderer_wants_single_version (const struct wy_orderer_daemon *d)
{
  for (guint i = 0; d->routing && i < d->routing->routes->len; i++)
    {
      const struct wy_route *r = g_ptr_array_index (d->routing->routes, i);

      for (guint k = 0; r->single_version && k < r->splits->len; k++)
        if (!strcmp (
                g_array_index (r->splits, struct wy_traffic_split, k).service,
                d->o.settings->service))
          return true;
    }
  return false;
}

/* Report the schedule of N.  The field range has the ranks of the first
   replica of the model's share and of the one after the last.  */
static void
log_turn (const struct wy_orderer_daemon *d,
          const struct wy_orderer_version *n,
          const struct wy_weight_loading_options *o, uint32_t delay_ms)
{
  uint32_t first = wy_weight_loading_first (o);
  uint32_t end = o->counts ? first + o->counts[o->model]
                           : (o->model + 1) * o->replicas / o->models;
  char *counts
      = o->counts ? wy_model_shares_counts (&d->shares) : g_strdup ("equal");

  wy_json_log ("version.turn",
               "model=%s version=%lld loads=%d delay_ms=%u rank=%u of=%u "
               "lag=%u range=%u-%u counts=%s",
               n->v.model, (long long)n->v.version, n->selected, delay_ms,
               o->rank, o->replicas, o->lag, first, end, counts);
  g_free (counts);
}

static void
schedule_load (struct wy_orderer_daemon *d, struct wy_orderer_version *n,
               uint32_t lag)
{
  struct wy_weight_loading_options o = { .rank = d->rank,
                                         .replicas = d->replicas,
                                         .version = n->v.version,
                                         .lag = lag,
                                         .load_ms = (uint32_t)d->load_ms };
  struct wy_weight_loading t;

  model_index (d, n->v.model, &o.model, &o.models);
  update_shares (d);
  if (d->shares.by_need && d->shares.models == o.models)
    o.counts = d->shares.counts;
  t = wy_weight_loading (&o);
  n->selected = t.loads;
  n->due_ms = n->seen_ms + t.delay_ms;
  log_turn (d, n, &o, t.delay_ms);
}

/* The first version whose load is not scheduled yet; NULL: none.  */
static struct wy_orderer_version *
next_unscheduled (struct wy_orderer_daemon *d)
{
  for (uint32_t i = 0; i < d->n_versions; i++)
    if (!d->versions[i].due_ms)
      return &d->versions[i];
  return NULL;
}

static void read_staleness (struct wy_orderer_daemon *d);

static void
on_staleness (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;
  struct wy_orderer_version *n = next_unscheduled (d);

  d->list_pending = false;
  if (r->err || !n)
    return;
  /* Another version may have been requested meanwhile; the staleness of its
     model is read next.  */
  if (n->v.version == d->staleness_version
      && !strcmp (n->v.model, d->staleness_model))
    schedule_load (d, n, wy_staleness_allowed (r));
  read_staleness (d);
}

static void
read_staleness (struct wy_orderer_daemon *d)
{
  const struct wy_orderer_version *n = next_unscheduled (d);
  struct wy_rows_range range = { .table = WY_STALENESS_TABLE };

  if (!n)
    return;
  g_strlcpy (d->staleness_model, n->v.model, sizeof d->staleness_model);
  d->staleness_version = n->v.version;
  range.partition = d->staleness_model;
  d->list_pending = true;
  wy_rows_get (d->rows, &range, on_staleness, d);
}

static void
on_demands (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;

  d->list_pending = false;
  /* If the read failed, the rows read before stay in use.  */
  if (!r->err)
    {
      memset (&d->demands, 0, sizeof d->demands);
      for (size_t i = 0; i < r->n; i++)
        wy_demand_rows_set (&d->demands, &r->rows[i]);
      d->demands_read_ms = wy_orderer_now_ms (d);
      d->demands_store_ms = r->store_now_ms;
    }
  read_staleness (d);
}

/* Read what the next schedule depends on: the demands of the service's models,
   unless they were read in the last seconds, and the staleness.  */
static void
read_demands (struct wy_orderer_daemon *d)
{
  struct wy_rows_range range
      = { .table = WY_DEMAND_TABLE, .partition = d->o.settings->service };

  if (!shares_by_demand (d)
      || (d->demands_read_ms
          && wy_orderer_now_ms (d) - d->demands_read_ms < DEMANDS_FRESH_MS))
    {
      read_staleness (d);
      return;
    }
  d->list_pending = true;
  wy_rows_get (d->rows, &range, on_demands, d);
}

static void read_page (struct wy_orderer_daemon *d);

static void
count_replica (struct wy_orderer_daemon *d, const struct wy_row *row)
{
  struct wy_replica_list *l = &d->list;
  struct wy_replica info;

  if (wy_replica_decode (row->key, row->value, row->size_bytes, &info)
      || strcmp (info.service, d->o.settings->service) != 0)
    return;
  if (wy_replica_address_key (&info.address)
      == wy_replica_address_key (&d->target))
    {
      g_strlcpy (d->id, info.id, sizeof d->id);
      l->found = true;
    }
  else if (!info.draining)
    l->rank += wy_replica_address_key (&info.address)
               < wy_replica_address_key (&d->target);
  l->replicas += !info.draining;
}

static void
on_page (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;
  struct wy_replica_list *l = &d->list;

  d->list_pending = false;
  d->list_due_ms = wy_orderer_now_ms (d) + LIST_RETRY_MS;
  if (r->err)
    return;
  for (size_t i = 0; i < r->n; i++)
    count_replica (d, &r->rows[i]);
  if (r->has_more && r->n)
    {
      g_free (l->next_key);
      /* The smallest key after that of the last row.  */
      l->next_key = g_strconcat (r->rows[r->n - 1].key, "\x01", NULL);
      read_page (d);
      return;
    }
  if (!l->found)
    {
      d->list_due_ms += (int64_t)LIST_RETRY_MS * l->misses;
      l->misses = MIN (l->misses + 1, LIST_MISSES_MAX);
      return;
    }
  d->rank = l->rank;
  d->replicas = l->replicas;
  d->rank_read_ms = wy_orderer_now_ms (d);
  l->misses = 0;
  read_demands (d);
}

static void
read_page (struct wy_orderer_daemon *d)
{
  struct wy_rows_range range = { .table = WY_REPLICA_TABLE,
                                 .partition = "",
                                 .from = d->list.next_key };

  d->list_pending = true;
  wy_rows_get (d->rows, &range, on_page, d);
}

/* Schedule the loads of versions that have no schedule yet, by the rank of
   this replica among those of its service.  The rank is cached for
   RANK_FRESH_MS, since every orderer reads the full list and replicas change
   much less often than versions.  */
void
wy_orderer_read_list (struct wy_orderer_daemon *d)
{
  if (*d->id && d->rank_read_ms
      && wy_orderer_now_ms (d) - d->rank_read_ms < RANK_FRESH_MS)
    {
      read_demands (d);
      return;
    }
  g_clear_pointer (&d->list.next_key, g_free);
  d->list = (struct wy_replica_list){ .misses = d->list.misses };
  read_page (d);
}
