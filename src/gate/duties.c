/* Duties: the calls to the platform that one elected entry makes for all.
   Connects the election and the duties with the entry's state.  */
#include "gate/gate_state.h"

#include "trace/json_log.h"

/* Subject of the lease.  One lease covers all duties: an instance that can
   perform one can perform the others, and a second lease would double the
   calls to the store.  */
#define SUBJECT "platform"

enum
{
  /* Only this many entries stand for election, those with the most processor
     time first; more would only add calls to the store.  */
  CANDIDATES = 4,
  /* The directory of entries counts as current up to this age.  */
  MEMBERS_CURRENT_MS = 1100
};

static bool
may_lead (void *ctx)
{
  const struct wy_gate *g = ctx;
  int64_t age_ms = wy_members_age_ms (g->members);

  return !g->stop_requested_ms && g->env.routing && age_ms >= 0
         && age_ms <= MEMBERS_CURRENT_MS && wy_rows_is_direct (g->env.rows)
         && wy_members_rank (g->members, SUBJECT) < CANDIDATES;
}

static void
on_acquired (void *ctx)
{
  const struct wy_gate *g = ctx;

  wy_members_watch_load (g->members, true);
  if (g->env.usage)
    wy_usage_on_elected (g->env.usage);
  if (g->scaler)
    wy_scaler_on_elected (g->scaler);
}

static void
on_lost (void *ctx)
{
  const struct wy_gate *g = ctx;

  wy_members_watch_load (g->members, false);
  wy_duty_calls_stop (g->duty_calls);
}

static int64_t
epoch_ms (void *ctx)
{
  const struct wy_gate *g = ctx;

  return wy_members_epoch_ms (g->members);
}

static int64_t
newest_complete_window (void *ctx)
{
  const struct wy_gate *g = ctx;

  return wy_members_usage_complete (g->members);
}

static void
on_window_complete (void *ctx, int64_t window)
{
  const struct wy_gate *g = ctx;

  wy_members_publish_usage (g->members, window);
}

static void
start_usage (struct wy_gate *g)
{
  const struct wy_gate_settings *s = g->o.settings;
  struct wy_usage_options o
      = { .loop = g->o.loop,
          .clock = g->o.clock,
          .rows = g->env.rows,
          .counts_row_key = g->holder,
          .election = g->election,
          .calls = g->duty_calls,
          .window_ms = (uint32_t)(s->usage_window_s * WY_MS_PER_S),
          .report_deadline_ms = (uint32_t)(s->usage_late_s * WY_MS_PER_S),
          .epoch_ms = epoch_ms,
          .newest_complete_window = newest_complete_window,
          .on_complete = on_window_complete,
          .ctx = g };

  g->env.usage = wy_usage_new (&o);
}

struct scaler_inputs
{
  const struct wy_gate *gate;
  GHashTable *by_key; /* struct wy_scaler_input by "service/zone" */
};

/* Count the target T among the replicas of its service and availability zone.
   A draining replica isn't counted, but still shows that its service runs in
   the zone.  */
static void
count_replica (void *ctx, const struct wy_target *t)
{
  struct scaler_inputs *inputs = ctx;
  const struct wy_service *v
      = wy_routing_service (inputs->gate->env.routing, t->info.service);
  struct wy_scaler_input *s;
  char *key;

  if (!v || !v->is_autoscaled || !t->listed)
    return;
  key = g_strdup_printf ("%s/%s", t->info.service, t->info.availability_zone);
  s = g_hash_table_lookup (inputs->by_key, key);
  if (!s)
    {
      s = g_new0 (struct wy_scaler_input, 1);
      s->service = t->info.service;
      s->availability_zone = t->info.availability_zone;
      s->load.minimum = v->replicas_min;
      s->load.maximum = v->replicas_max;
      s->load.boot_ms = v->boot_ms;
      s->load.slots = t->info.slots;
      g_hash_table_insert (inputs->by_key, key, s);
    }
  else
    g_free (key);
  s->replicas += !t->info.draining;
}

/* Call FN for each autoscaled service in each availability zone.  */
static void
each_scaled (void *ctx,
             void (*fn) (void *arg, const struct wy_scaler_input *s),
             void *arg)
{
  const struct wy_gate *g = ctx;
  int64_t age_ms = wy_members_age_ms (g->members);
  struct scaler_inputs inputs = { .gate = g };
  GHashTableIter it;
  gpointer p;

  if (!g->env.routing || !wy_routing_has_autoscaled (g->env.routing)
      || !wy_watch_is_synced (g->replica_watch))
    return;
  inputs.by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  wy_targets_each (g->env.targets, count_replica, &inputs);
  g_hash_table_iter_init (&it, inputs.by_key);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct wy_scaler_input *s = p;

      s->load.busy_slots = wy_members_busy_slots (g->members, s->service,
                                                  s->availability_zone);
      s->load.all_reported = age_ms >= 0 && age_ms <= MEMBERS_CURRENT_MS
                             && wy_members_load_is_known (g->members);
      fn (arg, s);
    }
  g_hash_table_destroy (inputs.by_key);
}

static void
start_scaler (struct wy_gate *g)
{
  struct wy_scaler_options o = { .loop = g->o.loop,
                                 .clock = g->o.clock,
                                 .election = g->election,
                                 .calls = g->duty_calls,
                                 .for_each = each_scaled,
                                 .ctx = g };

  g->scaler = wy_scaler_new (&o);
}

/* Start the duties that the settings of G list.  Returns 0, or WY_H1_EBIND if
   the platform's address is invalid.  */
int
wy_gate_start_duties (struct wy_gate *g)
{
  const struct wy_gate_settings *s = g->o.settings;
  struct wy_election_options e
      = { .loop = g->o.loop,
          .clock = g->o.clock,
          .rows = g->env.rows,
          .subject = SUBJECT,
          .holder = g->holder,
          .seed = wy_hash64 (g->incarnation, WY_ID_LEN, 7),
          .ttl_ms = (uint32_t)s->lease_ms,
          .is_candidate = may_lead,
          .on_acquired = on_acquired,
          .on_lost = on_lost,
          .ctx = g };
  struct wy_duty_calls_options c = { .loop = g->o.loop,
                                     .clock = g->o.clock,
                                     .http = g->env.http,
                                     .address = s->platform,
                                     .node = s->name };
  int err;

  if (!*s->platform)
    return 0;
  g->election = wy_election_new (&e);
  c.election = g->election;
  err = wy_duty_calls_new (&g->duty_calls, &c);
  if (err)
    return err;
  for (guint i = 0; i < s->duties->len; i++)
    {
      if (wy_duty_is_usage (g_ptr_array_index (s->duties, i)))
        start_usage (g);
      if (wy_duty_is_scaling (g_ptr_array_index (s->duties, i)))
        start_scaler (g);
    }
  return 0;
}

/* Resign, since this entry stops; another one can be elected at once.  */
void
wy_gate_stop_duties (struct wy_gate *g)
{
  if (g->election)
    wy_election_resign (g->election, 0, "stopping");
}

/* Free what wy_gate_start_duties has created.  */
void
wy_gate_free_duties (struct wy_gate *g)
{
  if (g->env.usage)
    wy_usage_free (g->env.usage);
  if (g->scaler)
    wy_scaler_free (g->scaler);
  if (g->duty_calls)
    wy_duty_calls_free (g->duty_calls);
  if (g->election)
    wy_election_free (g->election);
}
