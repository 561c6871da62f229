/* Weight rollout of one model.

   The holder of the lease brings every target to the newest published
   version: first it has the agents fetch the weights, a few from the weight
   store and the others from agents that have them, then it has them swap in
   waves.  Which targets are next is decided in src/decide/waves.  Each order
   carries the fencing number; an agent that has seen a higher one refuses.

   A swap that fails leaves the old version in force, and a target that was
   restarted comes back with an old one.  Both are seen in what the agents
   report, and the target gets its orders again, within a budget for each
   version; after that it is named in the log and tried now and then only, so
   that a broken target costs neither the weight store nor the others.  */
#include "yard/rollout_state.h"

#include <string.h>

enum
{
  TICK_MS = 200,
  /* Agents that read from the weight store themselves, and those that each
     agent serves: 3,200 targets are reached in 7 hops.  */
  ROOTS = 2,
  FAN_OUT = 3,
  /* Orders out at a time.  */
  STAGING_MAX = 64
};

/* The time by which R plans.  */
int64_t
wy_rollout_now_ms (const struct wy_rollout *r)
{
  return wy_clock_mono_ms (r->env->o.clock);
}

/* Free R when nothing refers to it any longer.  */
void
wy_rollout_destroy (struct wy_rollout *r)
{
  if (!r->closing || !r->timer_closed || r->awaited)
    return;
  wy_yard_env_unuse (r->env);
  g_ptr_array_free (r->order, TRUE);
  g_hash_table_destroy (r->replicas);
  g_free (r->views);
  g_free (r->model);
  g_free (r);
}

static bool
has_weights (const struct wy_replica *x, int64_t goal)
{
  return x->staged == goal || x->version == goal;
}

/* Where the replica at place I of the tree gets its weights: "" for the
   weight store, NULL when it has to wait.  A parent whose own orders fail is
   passed over, or its whole branch would wait for it.  */
static const char *
source_of (struct wy_rollout *r, guint i)
{
  int32_t parent = wy_relay_parent (i, FAN_OUT, ROOTS);
  const struct wy_replica *p;

  if (parent < 0)
    return "";
  p = r->order->pdata[parent];
  if (has_weights (p, r->goal) && p->view.weights_source
      && *p->view.weights_source)
    return p->view.weights_source;
  if (p->tries > 0 || has_weights (p, r->goal))
    return "";
  return NULL;
}

static bool
may_order (const struct wy_replica *x, int64_t now)
{
  return !x->awaited && now >= x->retry_ms;
}

static uint32_t
awaited_of (const struct wy_rollout *r, enum wy_order_kind kind)
{
  uint32_t n = 0;

  for (guint i = 0; i < r->order->len; i++)
    {
      const struct wy_replica *x = r->order->pdata[i];
      n += x->awaited && x->kind == kind;
    }
  return n;
}

static void
stage (struct wy_rollout *r)
{
  uint32_t out = awaited_of (r, WY_ORDER_STAGE);
  int64_t now = wy_rollout_now_ms (r);

  for (guint i = 0; i < r->order->len && out < STAGING_MAX; i++)
    {
      struct wy_replica *x = r->order->pdata[i];
      const char *source;

      if (has_weights (x, r->goal) || !may_order (x, now))
        continue;
      source = source_of (r, i);
      if (!source)
        continue;
      if (!*source && r->env->o.weight_bytes_per_s
          && wy_token_bucket_take (&r->pace, r->env->o.weight_bytes, now))
        return;
      wy_replica_order (x, WY_ORDER_STAGE, source);
      out++;
    }
}

/* Callers' share of what the targets can do at once.  Rollouts fill every
   free place and give way to callers, so what is free at the moment says
   nothing: held against it, waves would be of one target each whenever the
   engines are well used.  */
static double
load_share (struct wy_rollout *r)
{
  double running = 0;
  double places = 0;

  for (guint i = 0; i < r->order->len; i++)
    {
      const struct wy_replica *x = r->order->pdata[i];

      running += x->view.interactive_running;
      places += x->view.streams_max;
    }
  return places > 0 ? running / places : 0;
}

static void
activate (struct wy_rollout *r)
{
  guint n = r->order->len;
  int64_t now = wy_rollout_now_ms (r);
  struct wy_wave_replica *w = g_new0 (struct wy_wave_replica, n + 1);
  uint32_t *next = g_new (uint32_t, n + 1);
  const struct wy_wave_options o = { .load_share = load_share (r) };
  uint32_t got;

  for (guint i = 0; i < n; i++)
    {
      const struct wy_replica *x = r->order->pdata[i];

      w[i].callers = x->view.interactive_running;
      w[i].staged = x->staged == r->goal;
      w[i].done = x->version >= r->goal;
      w[i].failed = !may_order (x, now);
    }
  got = wy_wave_next (&o, w, n, awaited_of (r, WY_ORDER_ACTIVATE), next, n);
  for (uint32_t i = 0; i < got; i++)
    wy_replica_order (r->order->pdata[next[i]], WY_ORDER_ACTIVATE, "");
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
  wy_rollout_look (r);
  stage (r);
  if (r->order->len)
    activate (r);
}

/* Give what orders can be given as soon as the loop comes round.  */
void
wy_rollout_wake (struct wy_rollout *r)
{
  if (!r->closing && !r->stopped)
    uv_timer_start (&r->timer, on_tick, 0, 0);
}

/* Try to become the one who brings new weights to the targets of O->model. */
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
  wy_yard_env_use (o->env);
  r->model = g_strdup (o->model);
  r->replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wy_replica_free);
  r->order = g_ptr_array_new ();
  r->views = g_new0 (struct wy_target_view, WY_ROLLOUT_TARGETS_MAX);
  /* The budget holds what the roots need at once.  */
  wy_token_bucket_init (&r->pace, eo->weight_bytes_per_s,
                        eo->weight_bytes * ROOTS, wy_rollout_now_ms (r));
  r->lease = wy_lease_new (&lease);
  g_free (name);
  uv_timer_init (eo->loop, &r->timer);
  r->timer.data = r;
  wy_rollout_wake (r);
  return r;
}

/* VERSION is published.  */
void
wy_rollout_goal (struct wy_rollout *r, int64_t version)
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

/* Give no more orders, and the lease to another.  Orders under way may still
   take effect; they carry a fencing number that the next holder's is above. */
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
  wy_rollout_destroy (r);
}

/* Free R, before the store is freed.  */
void
wy_rollout_free (struct wy_rollout *r)
{
  r->closing = true;
  wy_lease_free (r->lease);
  uv_close ((uv_handle_t *)&r->timer, on_timer_closed);
}
