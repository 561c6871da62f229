/* Which versions trainers have named, and which of them this replica is to
   load when.  */
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
  /* Caps the growth of the delay while the replica is not listed.  */
  LIST_MISSES_MAX = 7
};

/* Monotonic time in ms.  */
int64_t
wy_orderer_now_ms (const struct wy_orderer_daemon *d)
{
  return wy_clock_mono_ms (d->o.clock);
}

/* The version of MODEL that the replica reports; -1: none.  */
int64_t
wy_orderer_held_version (const struct wy_orderer_daemon *d, const char *model)
{
  for (uint32_t i = 0; i < d->report.n_models; i++)
    if (!strcmp (d->report.models[i].model, model))
      return d->report.models[i].version;
  return -1;
}

static struct wy_named *
named_of (struct wy_orderer_daemon *d, const char *model)
{
  for (uint32_t i = 0; i < d->n_named; i++)
    if (!strcmp (d->named[i].v.model, model))
      return &d->named[i];
  if (d->n_named == WY_REPLICA_MODELS_MAX)
    return NULL;
  return &d->named[d->n_named++];
}

static void
learn_version (struct wy_orderer_daemon *d, const struct wy_row *row)
{
  struct wy_requested_version v;
  struct wy_named *n;

  if (!wy_requested_version_decode (row->value, row->size_bytes, &v))
    {
      wy_json_log ("version.rejected", "key=%s row_version=%lld", row->key,
                   (long long)row->version);
      return;
    }
  n = named_of (d, v.model);
  if (!n || n->v.version >= v.version)
    return;
  n->v = v;
  n->seen_ms = wy_orderer_now_ms (d);
  n->due_ms = 0;
  wy_json_log ("version.named", "model=%s version=%lld held=%lld", v.model,
               (long long)v.version,
               (long long)wy_orderer_held_version (d, v.model));
}

/* A row of the operator's table is new or has changed.  */
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
      learn_version (d, row);
      break;
    case WY_OPERATOR_OTHER:
      break;
    }
}

/* Position of MODEL among the models of this replica's service.  */
static void
model_place (const struct wy_orderer_daemon *d, const char *model,
             uint32_t *place, uint32_t *n)
{
  const struct wy_service *s
      = d->routing ? wy_routing_service (d->routing, d->o.settings->service)
                   : NULL;

  *place = 0;
  *n = 1;
  for (guint i = 0; s && i < s->models->len; i++)
    if (!strcmp (g_ptr_array_index (s->models, i), model))
      {
        *place = i;
        *n = s->models->len;
      }
}

/* Whether a route to this replica's service wants texts of one version.  */
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

static void
set_turn (struct wy_orderer_daemon *d, struct wy_named *n, uint32_t lag)
{
  struct wy_weight_loading_options o = { .rank = d->rank,
                                         .replicas = d->replicas,
                                         .version = n->v.version,
                                         .lag = lag,
                                         .load_ms = (uint32_t)d->load_ms };
  struct wy_weight_loading t;

  model_place (d, n->v.model, &o.model, &o.models);
  t = wy_weight_loading (&o);
  n->loads = t.loads;
  n->due_ms = n->seen_ms + t.delay_ms;
  wy_json_log (
      "version.turn",
      "model=%s version=%lld loads=%d delay_ms=%u rank=%u of=%u lag=%u",
      n->v.model, (long long)n->v.version, n->loads, t.delay_ms, d->rank,
      d->replicas, lag);
}

/* The first named version whose turn is not known yet; NULL: none.  */
static struct wy_named *
without_turn (struct wy_orderer_daemon *d)
{
  for (uint32_t i = 0; i < d->n_named; i++)
    if (!d->named[i].due_ms)
      return &d->named[i];
  return NULL;
}

static void read_lag (struct wy_orderer_daemon *d);

static uint64_t
order_of (const struct sockaddr_in *a)
{
  return (uint64_t)ntohl (a->sin_addr.s_addr) << 16 | ntohs (a->sin_port);
}

static void
on_lag (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;
  struct wy_named *n = without_turn (d);

  d->listing = false;
  if (r->err || !n)
    return;
  /* Another version may have been named meanwhile; its model's lag is read
     in its turn.  */
  if (n->v.version == d->lag_version && !strcmp (n->v.model, d->lag_model))
    set_turn (d, n, wy_staleness_allowed (r));
  read_lag (d);
}

static void
read_lag (struct wy_orderer_daemon *d)
{
  const struct wy_named *n = without_turn (d);
  struct wy_rows_range range = { .table = WY_STALENESS_TABLE };

  if (!n)
    return;
  g_strlcpy (d->lag_model, n->v.model, sizeof d->lag_model);
  d->lag_version = n->v.version;
  range.partition = d->lag_model;
  d->listing = true;
  wy_rows_get (d->rows, &range, on_lag, d);
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
  if (order_of (&info.address) == order_of (&d->target))
    {
      g_strlcpy (d->id, info.id, sizeof d->id);
      l->found = true;
    }
  else if (!info.draining)
    l->rank += order_of (&info.address) < order_of (&d->target);
  l->replicas += !info.draining;
}

static void
on_page (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;
  struct wy_replica_list *l = &d->list;

  d->listing = false;
  d->list_due_ms = wy_orderer_now_ms (d) + LIST_RETRY_MS;
  if (r->err)
    return;
  for (size_t i = 0; i < r->n; i++)
    count_replica (d, &r->rows[i]);
  if (r->has_more && r->n)
    {
      g_free (l->next_key);
      /* The least key after that of the last row.  */
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
  read_lag (d);
}

static void
read_page (struct wy_orderer_daemon *d)
{
  struct wy_rows_range range = { .table = WY_REPLICA_TABLE,
                                 .partition = "",
                                 .from = d->list.next_key };

  d->listing = true;
  wy_rows_get (d->rows, &range, on_page, d);
}

/* Determine the turns of versions that have none yet from the rank of this
   replica among those of its service.  The rank is cached for RANK_FRESH_MS,
   since every orderer reads the whole list and replicas change much less often
   than versions.  */
void
wy_orderer_read_list (struct wy_orderer_daemon *d)
{
  if (*d->id && d->rank_read_ms
      && wy_orderer_now_ms (d) - d->rank_read_ms < RANK_FRESH_MS)
    {
      read_lag (d);
      return;
    }
  g_clear_pointer (&d->list.next_key, g_free);
  d->list = (struct wy_replica_list){ .misses = d->list.misses };
  read_page (d);
}
