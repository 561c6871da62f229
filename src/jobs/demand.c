/* Demands of the models whose jobs run on this entry.

   The need of a model is measured where its jobs run, and published in a row
   that orderers and other such entries read.  If this entry fails, its row
   stays until the next holder of the model's jobs writes it, or until it is
   too old.  Nothing is written for a service with a single model, whose
   replicas are not divided.  */
#include "jobs/demand.h"

#include <string.h>

#include "decide/model_demand.h"
#include "rows/watch.h"
#include "trace/json_log.h"

enum
{
  WATCH_INTERVAL_MS = 500,
  /* Interval of the checks whether a demand is to be published, and so the
     least interval of its writes.  */
  CHECK_INTERVAL_MS = 1000,
  /* The least lag of the jobs in this time counts, as for the staleness that
     orderers use.  */
  MIN_LAG_WINDOW_MS = 30000
};

struct model_demand
{
  struct wy_demand_estimate estimate;
  uint32_t priority;
  uint32_t lag;
  int64_t lag_ms; /* when it was last observed; 0: never */
  int64_t checked_ms;
  bool has_read_row; /* that there was when jobs started to run here */
  bool writing;
  struct wy_demand_row written; /* by the write in progress */
  struct service_demands *service;
};

struct service_demands
{
  char *name;
  GHashTable *models; /* struct model_demand by name: those that run here */
  struct wy_demand_rows rows;
  struct wy_model_shares shares;
  struct wy_target_range ranges[WY_REPLICA_MODELS_MAX];
  bool has_range[WY_REPLICA_MODELS_MAX]; /* none if shares are equal */
};

struct wy_demand
{
  struct wy_gate_env *env;
  uint64_t seed;
  GHashTable *services;   /* struct service_demands by name */
  struct wy_watch *watch; /* NULL: no job has run here yet */
};

/* Return an empty set of demands for the entry of ENV.  */
struct wy_demand *
wy_demand_new (struct wy_gate_env *env, uint64_t seed)
{
  struct wy_demand *d = g_new0 (struct wy_demand, 1);

  d->env = env;
  d->seed = seed;
  d->services = g_hash_table_new (g_str_hash, g_str_equal);
  return d;
}

/* Stop.  The memory of the services is not freed, since writes in progress may
   refer to it.  D may be NULL.  */
void
wy_demand_free (struct wy_demand *d)
{
  if (!d)
    return;
  if (d->watch)
    wy_watch_free (d->watch);
  g_hash_table_destroy (d->services);
  g_free (d);
}

static struct service_demands *
find_or_add_service (struct wy_demand *d, const char *name)
{
  struct service_demands *s = g_hash_table_lookup (d->services, name);

  if (s)
    return s;
  s = g_new0 (struct service_demands, 1);
  s->name = g_strdup (name);
  s->models = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (d->services, s->name, s);
  return s;
}

static struct model_demand *
find_or_add_model (struct service_demands *s, const char *name)
{
  struct model_demand *m = g_hash_table_lookup (s->models, name);

  if (m)
    return m;
  m = g_new0 (struct model_demand, 1);
  m->service = s;
  g_hash_table_insert (s->models, g_strdup (name), m);
  return m;
}

static void
update_ranges (struct service_demands *s, const struct wy_target_ranks *ranks)
{
  uint32_t first = 0;

  for (uint32_t i = 0; i < WY_REPLICA_MODELS_MAX; i++)
    {
      s->has_range[i] = s->shares.by_need && i < s->shares.models
                        && wy_target_ranks_range (
                            ranks, first, s->shares.counts[i], &s->ranges[i]);
      first += s->shares.counts[i];
    }
}

static void
update_service (struct wy_demand *d, struct service_demands *s)
{
  const struct wy_service *service
      = d->env->routing ? wy_routing_service (d->env->routing, s->name) : NULL;
  /* The time of the last read: rows don't become old while the store is
     unreachable.  */
  int64_t read_ms = wy_rows_store_now_ms (d->env->rows)
                    - MAX (wy_watch_age_ms (d->watch), 0);
  struct wy_target_ranks *ranks;
  struct wy_model_shares shares;
  uint32_t replicas;

  if (!service)
    return;
  ranks = wy_target_ranks_new (d->env->targets, s->name);
  replicas = wy_target_ranks_count (ranks);
  wy_model_shares_compute (&s->rows, service, replicas, read_ms, &shares);
  if (wy_model_shares_differ (&shares, &s->shares))
    wy_model_shares_log (&shares, s->name, replicas);
  s->shares = shares;
  update_ranges (s, ranks);
  wy_target_ranks_free (ranks);
}

/* Compute the shares of all services from the rows, replicas and configuration
   known now.  D may be NULL.  */
void
wy_demand_update_shares (struct wy_demand *d)
{
  GHashTableIter it;
  gpointer s;

  if (!d || !d->watch || !wy_watch_is_synced (d->watch))
    return;
  g_hash_table_iter_init (&it, d->services);
  while (g_hash_table_iter_next (&it, NULL, &s))
    update_service (d, s);
}

/* Return the replicas of SERVICE that load the versions of MODEL (may be
   NULL), or NULL if shares are equal or not known.  D may be NULL.  */
const struct wy_target_range *
wy_demand_range (const struct wy_demand *d, const char *service,
                 const char *model)
{
  const struct service_demands *s
      = d && model ? g_hash_table_lookup (d->services, service) : NULL;
  const struct wy_service *config
      = s && d->env->routing ? wy_routing_service (d->env->routing, service)
                             : NULL;
  uint32_t i;

  if (!config || !s->shares.by_need)
    return NULL;
  i = wy_model_index (config, model);
  return i < config->models->len && i < WY_REPLICA_MODELS_MAX
                 && s->has_range[i]
             ? &s->ranges[i]
             : NULL;
}

static void
on_row (void *ctx, const struct wy_row *row)
{
  struct wy_demand *d = ctx;

  wy_demand_rows_set (&find_or_add_service (d, row->partition)->rows, row);
}

static void
on_synced (void *ctx)
{
  wy_demand_update_shares (ctx);
}

/* Entries that run no jobs don't need the rows, and hundreds of entries that
   watch them would load the store for nothing.  */
static void
start_watch (struct wy_demand *d)
{
  struct wy_watch_options w = { .loop = d->env->loop,
                                .clock = d->env->clock,
                                .rows = d->env->rows,
                                .table = WY_DEMAND_TABLE,
                                .all_partitions = true,
                                .min_interval_ms = WATCH_INTERVAL_MS,
                                .seed = d->seed,
                                .on_row = on_row,
                                .on_synced = on_synced,
                                .ctx = d };

  d->watch = wy_watch_new (&w);
}

static void
on_written (void *ctx, const struct wy_rows_result *r)
{
  struct model_demand *m = ctx;

  m->writing = false;
  /* If the write failed, the next check repeats it.  */
  if (!r->err)
    wy_demand_rows_put (&m->service->rows, &m->written);
}

static void
publish (struct wy_demand *d, struct model_demand *m, const char *model,
         double slots)
{
  const struct wy_demand_estimate *e = &m->estimate;
  struct wy_row_write w = { .table = WY_DEMAND_TABLE, .key = model };
  struct wy_rows_tx tx
      = { .partition = m->service->name, .writes = &w, .n_writes = 1 };
  char *value;

  m->written = (struct wy_demand_row){
    .demand = { .slots = slots, .priority = m->priority },
    .lag = m->lag,
    .interval_ms = e->has_interval ? e->interval_ms : 0,
    .at_ms = wy_rows_store_now_ms (d->env->rows)
  };
  g_strlcpy (m->written.model, model, sizeof m->written.model);
  value = wy_demand_row_encode (&m->written);
  w.value = value;
  w.size_bytes = strlen (value);
  m->writing = true;
  wy_json_log ("demand.published",
               "service=%s model=%s slots=%.1f tokens=%.0f ms_per_token=%.2f "
               "interval_ms=%.0f measured=%d priority=%u lag=%u",
               m->service->name, model, slots, wy_demand_tokens (e),
               wy_demand_ms_per_token (e), e->interval_ms, e->has_interval,
               m->priority, m->lag);
  wy_rows_tx (d->env->rows, &tx, on_written, m);
  g_free (value);
}

/* Continue with what the former holder of the model's jobs has measured, as
   the row says.  */
static void
read_first_row (struct wy_demand *d, struct model_demand *m,
                const struct wy_demand_row *row)
{
  if (m->has_read_row || !wy_watch_is_synced (d->watch))
    return;
  m->has_read_row = true;
  if (row)
    wy_demand_adopt_interval (&m->estimate, row->interval_ms);
}

/* Publish the demand of MODEL unless the row says the same.  */
static void
check_row (struct wy_demand *d, struct model_demand *m, const char *model)
{
  const struct wy_demand_row *row
      = wy_demand_rows_find (&m->service->rows, model);
  int64_t store_now_ms = wy_rows_store_now_ms (d->env->rows);
  struct wy_published_demand published
      = { .slots = row ? row->demand.slots : 0,
          .age_ms = row ? MAX (store_now_ms - row->at_ms, 0) : -1 };
  double slots;

  m->checked_ms = wy_clock_mono_ms (d->env->clock);
  read_first_row (d, m, row);
  if (!m->writing && store_now_ms && wy_watch_is_synced (d->watch)
      && wy_demand_is_due (&m->estimate, &published, &slots))
    publish (d, m, model, slots);
}

static double
expected_tokens (const struct wy_item_spec *i)
{
  /* Items without an estimate count alike.  */
  return MAX (i->expected_tokens, 1);
}

static void
observe_lag (struct model_demand *m, const struct wy_active_job *o)
{
  int64_t now_ms = wy_clock_mono_ms (o->env->clock);
  int64_t lag = MAX (o->newest_version - o->spec->min_version, 0);

  /* Before the first announcement there is no version to lag behind.  */
  if (o->newest_version <= 1)
    return;
  if (m->lag_ms && lag > m->lag && now_ms - m->lag_ms <= MIN_LAG_WINDOW_MS)
    return;
  m->lag = (uint32_t)MIN (lag, UINT32_MAX);
  m->lag_ms = now_ms;
}

/* Whether the replicas of SERVICE are divided among models of which MODEL is
   one.  */
static bool
divides_replicas (const struct wy_gate_env *env, const char *service,
                  const char *model)
{
  const struct wy_service *s = wy_routing_service (env->routing, service);

  return s && s->models->len > 1 && wy_model_index (s, model) < s->models->len;
}

/* Record that this entry has started to run the job O, whose organisation or
   route has PRIORITY.  A route to several services divides the need among
   them.  D may be NULL.  */
void
wy_demand_job_started (struct wy_demand *d, const struct wy_active_job *o,
                       uint32_t priority)
{
  const char *model = o->spec->model;
  const struct wy_route *route;
  double tokens = 0;
  double weights = 0;

  if (!d || !*model || !d->env->routing || !(route = wy_active_job_route (o)))
    return;
  for (uint32_t i = 0; i < o->n_items; i++)
    tokens += expected_tokens (o->items[i].spec);
  for (guint i = 0; i < route->splits->len; i++)
    weights
        += g_array_index (route->splits, struct wy_traffic_split, i).weight;
  for (guint i = 0; i < route->splits->len; i++)
    {
      const struct wy_traffic_split *split
          = &g_array_index (route->splits, struct wy_traffic_split, i);
      struct model_demand *m;

      if (split->weight == 0
          || !divides_replicas (d->env, split->service, model))
        continue;
      if (!d->watch)
        start_watch (d);
      m = find_or_add_model (find_or_add_service (d, split->service), model);
      m->priority = priority;
      observe_lag (m, o);
      wy_demand_job_submitted (&m->estimate, tokens * split->weight / weights,
                               o->record->accepted_ms,
                               route->result_deadline_ms);
      check_row (d, m, model);
    }
}

/* Record that the text of I is complete, whose last run was at SERVICE.  D may
   be NULL.  */
void
wy_demand_item_ended (struct wy_demand *d, const char *service,
                      const struct wy_item *i)
{
  const char *model = i->job->spec->model;
  struct service_demands *s
      = d ? g_hash_table_lookup (d->services, service) : NULL;
  struct model_demand *m = s ? g_hash_table_lookup (s->models, model) : NULL;

  if (!m)
    return;
  wy_demand_item_completed (&m->estimate, expected_tokens (i->spec),
                            i->slot_ms);
  if (wy_clock_mono_ms (d->env->clock) - m->checked_ms >= CHECK_INTERVAL_MS)
    check_row (d, m, model);
}

/* Call FN for each model of the services whose shares are known here.  D may
   be NULL.  */
void
wy_demand_each (const struct wy_demand *d,
                void (*fn) (void *ctx, const struct wy_demand_view *v),
                void *ctx)
{
  GHashTableIter it;
  gpointer p;

  if (!d || !d->env->routing)
    return;
  g_hash_table_iter_init (&it, d->services);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct service_demands *s = p;
      const struct wy_service *service
          = wy_routing_service (d->env->routing, s->name);

      for (guint i = 0; service && i < service->models->len; i++)
        {
          struct wy_demand_view v
              = { .service = s->name,
                  .model = g_ptr_array_index (service->models, i) };

          if (i >= s->shares.models)
            continue;
          v.need = s->shares.demand[i].slots;
          v.replicas = s->shares.counts[i];
          fn (ctx, &v);
        }
    }
}
