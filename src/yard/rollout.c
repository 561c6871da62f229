/* Weight rollout of one model.

   The holder of the lease brings all targets to the newest published version.
   First it orders their agents to fetch the weights: a few from the weight
   store, the others from agents that already have them.  Then the targets
   activate the version in waves; src/decide/waves.c selects them.  Each order
   has the fencing token of the lease, and an agent rejects an order whose
   token is lower than one it has received.

   After a failed activation the old version stays in force, and a target that
   was restarted may start with an old version.  The agents report the version,
   so such a target gets its orders again.  After several failures for one
   version it is logged and gets orders at long intervals only, so that a
   broken target loads neither the weight store nor the other targets.  */
#include "yard/rollout_state.h"

#include <string.h>

enum
{
  TICK_MS = 200,
  /* Agents that read from the weight store, and agents that each agent serves:
     3,200 targets are reached in 7 hops.  */
  ROOTS = 2,
  FAN_OUT = 3,
  /* Pending orders to fetch weights.  */
  STAGING_MAX = 64
};

/* The monotonic time of R's clock.  */
int64_t
wy_rollout_now_ms (const struct wy_rollout *r)
{
  return wy_clock_mono_ms (r->env->o.clock);
}

/* Free R if it is closed and nothing refers to it.  */
void
wy_rollout_free_if_unused (struct wy_rollout *r)
{
  if (!r->closing || !r->timer_closed || r->pending_orders)
    return;
  wy_yard_env_unref (r->env);
  g_ptr_array_free (r->ready_targets, TRUE);
  g_hash_table_destroy (r->targets);
  g_free (r->views);
  g_free (r->model);
  g_free (r);
}

static bool
has_weights (const struct wy_rollout_target *x, int64_t goal)
{
  return x->staged_version == goal || x->version == goal;
}

/* The source of the weights for the target at place I of the relay tree: ""
   for the weight store, or NULL if it has to wait for its parent.  If the
   orders of the parent fail, the weight store is used, so that the targets
   below it don't wait.  */
static const char *
weights_source_of (struct wy_rollout *r, guint i)
{
  int32_t parent = wy_relay_parent (i, FAN_OUT, ROOTS);
  const struct wy_rollout_target *p;

  if (parent < 0)
    return "";
  p = r->ready_targets->pdata[parent];
  if (has_weights (p, r->goal) && p->view.weights_source
      && *p->view.weights_source)
    return p->view.weights_source;
  if (p->failed_orders > 0 || has_weights (p, r->goal))
    return "";
  return NULL;
}

static bool
can_order (const struct wy_rollout_target *x, int64_t now)
{
  return !x->order_pending && now >= x->retry_ms;
}

static uint32_t
count_pending (const struct wy_rollout *r, enum wy_order_kind kind)
{
  uint32_t n = 0;

  for (guint i = 0; i < r->ready_targets->len; i++)
    {
      const struct wy_rollout_target *x = r->ready_targets->pdata[i];
      n += x->order_pending && x->kind == kind;
    }
  return n;
}

static void
stage_targets (struct wy_rollout *r)
{
  uint32_t pending = count_pending (r, WY_ORDER_STAGE);
  int64_t now = wy_rollout_now_ms (r);

  for (guint i = 0; i < r->ready_targets->len && pending < STAGING_MAX; i++)
    {
      struct wy_rollout_target *x = r->ready_targets->pdata[i];
      const char *source;

      if (has_weights (x, r->goal) || !can_order (x, now))
        continue;
      source = weights_source_of (r, i);
      if (!source)
        continue;
      if (!*source && r->env->o.weight_bytes_per_s
          && wy_token_bucket_take (&r->weights_budget, r->env->o.weight_bytes,
                                   now))
        return;
      wy_rollout_target_order (x, WY_ORDER_STAGE, source);
      pending++;
    }
}

/* The share of all streams that callers use.  Samples use all other streams,
   but have a lower priority than callers, so the number of free streams
   doesn't show how many targets can be taken out: by it, a wave would be a
   single target whenever the engines are busy.  */
static double
load_share (struct wy_rollout *r)
{
  double running = 0;
  double streams = 0;

  for (guint i = 0; i < r->ready_targets->len; i++)
    {
      const struct wy_rollout_target *x = r->ready_targets->pdata[i];

      running += x->view.interactive_running;
      streams += x->view.streams_max;
    }
  return streams > 0 ? running / streams : 0;
}

static void
activate_targets (struct wy_rollout *r)
{
  guint n = r->ready_targets->len;
  int64_t now = wy_rollout_now_ms (r);
  struct wy_wave_replica *w = g_new0 (struct wy_wave_replica, n + 1);
  uint32_t *next = g_new (uint32_t, n + 1);
  const struct wy_wave_options o = { .load_share = load_share (r) };
  uint32_t n_next;

  for (guint i = 0; i < n; i++)
    {
      const struct wy_rollout_target *x = r->ready_targets->pdata[i];

      w[i].callers = x->view.interactive_running;
      w[i].staged = x->staged_version == r->goal;
      w[i].done = x->version >= r->goal;
      w[i].failed = !can_order (x, now);
    }
  n_next
      = wy_wave_next (&o, w, n, count_pending (r, WY_ORDER_ACTIVATE), next, n);
  for (uint32_t i = 0; i < n_next; i++)
    wy_rollout_target_order (r->ready_targets->pdata[next[i]],
                             WY_ORDER_ACTIVATE, "");
  g_free (w);
  g_free (next);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_rollout *r = t->data;

  uv_timer_start (&r->timer, on_tick, TICK_MS, 0);
  if (r->goal == 0 || !wy_lease_valid (r->lease))
    return;
  wy_rollout_update_targets (r);
  stage_targets (r);
  if (r->ready_targets->len)
    activate_targets (r);
}

/* Send the orders that are due in the next iteration of the event loop.  */
void
wy_rollout_wake (struct wy_rollout *r)
{
  if (!r->closing && !r->stopped)
    uv_timer_start (&r->timer, on_tick, 0, 0);
}

/* Create the rollout of O->model, which starts once it has the lease.  */
struct wy_rollout *
wy_rollout_new (const struct wy_rollout_options *o)
{
  struct wy_rollout *r = g_malloc0 (sizeof *r);
  const struct wy_yard_options *eo = &o->env->o;
  char *name = g_strdup_printf ("rollout/%s", o->model);
  const struct wy_lease_options lease = { .loop = eo->loop,
                                          .clock = eo->clock,
                                          .trace = eo->trace,
                                          .store = eo->store,
                                          .name = name,
                                          .holder = eo->holder,
                                          .seed = wy_rng_u64 (&o->env->rng),
                                          .ttl_ms = eo->lease_ttl_ms };

  r->env = o->env;
  wy_yard_env_ref (o->env);
  r->model = g_strdup (o->model);
  r->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      wy_rollout_target_free);
  r->ready_targets = g_ptr_array_new ();
  r->views = g_new0 (struct wy_target_view, WY_ROLLOUT_TARGETS_MAX);
  /* The burst is what the roots of the relay tree read at once.  */
  wy_token_bucket_init (&r->weights_budget, eo->weight_bytes_per_s,
                        eo->weight_bytes * ROOTS, wy_rollout_now_ms (r));
  r->lease = wy_lease_new (&lease);
  g_free (name);
  uv_timer_init (eo->loop, &r->timer);
  r->timer.data = r;
  wy_rollout_wake (r);
  return r;
}

/* VERSION has been published: bring the targets to it.  */
void
wy_rollout_set_goal (struct wy_rollout *r, int64_t version)
{
  if (version <= r->goal)
    return;
  r->goal = version;
  wy_rollout_wake (r);
}

/* Whether R holds its lease.  */
bool
wy_rollout_active (const struct wy_rollout *r)
{
  return !r->closing && wy_lease_valid (r->lease);
}

/* Send no more orders, and release the lease.  Pending orders may still take
   effect, but their fencing token is lower than that of the next holder.  */
void
wy_rollout_stop (struct wy_rollout *r)
{
  r->stopped = true;
  uv_timer_stop (&r->timer);
  wy_lease_release (r->lease);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_rollout *r = h->data;

  r->timer_closed = true;
  wy_rollout_free_if_unused (r);
}

/* Free R; must be called before the store is freed.  */
void
wy_rollout_free (struct wy_rollout *r)
{
  r->closing = true;
  wy_lease_free (r->lease);
  uv_close ((uv_handle_t *)&r->timer, on_timer_closed);
}
