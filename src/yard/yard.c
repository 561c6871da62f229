/* The yards of one entry.

   Each sampler and each rollout has a lease, which all entries try to acquire;
   only its holder performs the work.  Any entry handles requests of
   trainers.  */
#include "yard/yard.h"

#include <stdlib.h>
#include <string.h>

#include "yard/poll_interval.h"
#include "yard/step_row.h"
#include "yard/trainer_api.h"
#include "yard/yard_state.h"

enum
{
  TICK_MS = 100,
  /* Polling interval of the newest version.  */
  VERSION_POLL_MS = 250,
  /* Scoring may be slow; without data for this long, the service has
     failed.  */
  SILENCE_MS = 10000
};

/* Set the newest version as read from the store at revision REV; an older
   revision is ignored.  */
void
wy_yard_version_set (struct wy_yard_version *v, int64_t current, int64_t rev,
                     int64_t now_ms)
{
  if (rev < v->rev)
    return;
  if (current > v->current && v->published_ms)
    v->period_ms = (uint32_t)(now_ms - v->published_ms);
  if (current > v->current)
    v->published_ms = now_ms;
  if (rev > v->rev)
    v->changed_ms = now_ms;
  v->current = current;
  v->rev = rev;
}

/* The time at which the next version is expected, or 0 if it is unknown.
   AHEAD: an earlier step is not acknowledged.  If the yard has only one
   trainer, which waits for its batch, no version is published before that.  An
   overdue version gives no estimate either: if it counted as several versions
   published in the meantime, all samples would be stale before they start.  */
int64_t
wy_yard_version_expected_ms (const struct wy_yard_version *v, bool ahead,
                             int64_t now_ms)
{
  int64_t next_ms = v->published_ms + v->period_ms;

  if (v->period_ms == 0 || next_ms <= now_ms || (v->trainers <= 1 && !ahead))
    return 0;
  return next_ms;
}

/* Take a reference to ENV.  */
void
wy_yard_env_ref (struct wy_yard_env *env)
{
  env->refs++;
}

/* Drop a reference to ENV, which may free it.  */
void
wy_yard_env_unref (struct wy_yard_env *env)
{
  env->refs--;
  env->on_unref (env);
}

static int64_t
now_ms (const struct wy_yard *y)
{
  return wy_clock_mono_ms (y->env.o.clock);
}

static void
free_if_unused (struct wy_yard *y)
{
  if (!y->closing || !y->timer_closed || y->env.refs)
    return;
  g_hash_table_destroy (y->yards);
  g_hash_table_destroy (y->rollouts);
  if (y->own_http)
    wy_http_client_free (y->own_http);
  g_free ((char *)y->env.o.holder);
  g_free (y);
}

static void
on_unref (struct wy_yard_env *env)
{
  free_if_unused ((struct wy_yard *)env);
}

/* Set the newest version of the yard CTX, as read from the store.  */
void
wy_yard_set_version (void *ctx, int64_t current, int64_t rev)
{
  struct wy_one_yard *x = ctx;

  wy_yard_version_set (&x->version, current, rev, now_ms (x->owner));
}

static void
on_current (void *ctx, const struct wy_store_result *r)
{
  struct wy_one_yard *x = ctx;
  struct wy_yard *y = x->owner;
  const struct wy_store_row *row = wy_store_find_row (r, x->current_key);

  x->reading = false;
  if (!r->err && row)
    wy_yard_set_version (
        x, json_integer_value (json_object_get (row->value, "version")),
        row->rev);
  wy_yard_env_unref (&y->env);
}

static void
read_current (struct wy_one_yard *x)
{
  const char *keys[] = { x->current_key };
  const struct wy_store_read read
      = { .cause = "version", .keys = keys, .n_keys = 1 };
  int64_t now = now_ms (x->owner);
  uint32_t interval;

  if (x->reading || now < x->next_read_ms)
    return;
  interval
      = wy_yard_poll_interval_ms (VERSION_POLL_MS, x->version.changed_ms, now);
  x->next_read_ms
      = now + interval / 2 + wy_rng_below (&x->owner->env.rng, interval);
  x->reading = true;
  wy_yard_env_ref (&x->owner->env);
  wy_store_read (x->owner->env.o.store, &read, on_current, x);
}

/* Poll the rows at once if this entry works on them: a trainer has changed a
   row through it.  TRAINER is NULL for a published version.  */
void
wy_yard_row_changed (struct wy_yard *y, const char *yard, const char *trainer)
{
  struct wy_one_yard *x = g_hash_table_lookup (y->yards, yard);
  struct wy_sampler *s
      = x && trainer ? g_hash_table_lookup (x->samplers, trainer) : NULL;

  if (!x || y->stopped)
    return;
  x->next_read_ms = 0;
  if (s)
    wy_sampler_poll (s);
}

static bool
any_active (const struct wy_one_yard *x)
{
  const struct wy_rollout *rollout
      = g_hash_table_lookup (x->owner->rollouts, x->model);
  GHashTableIter i;
  gpointer s;

  if (rollout && wy_rollout_active (rollout))
    return true;
  g_hash_table_iter_init (&i, x->samplers);
  while (g_hash_table_iter_next (&i, NULL, &s))
    if (wy_sampler_active (s))
      return true;
  return false;
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_yard *y = t->data;
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, y->yards);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      struct wy_one_yard *x = p;
      struct wy_rollout *rollout;

      wy_scorer_run (x->scorer);
      if (!x->configured || !any_active (x))
        continue;
      read_current (x);
      rollout = g_hash_table_lookup (y->rollouts, x->model);
      if (rollout)
        wy_rollout_set_goal (rollout, x->version.current);
    }
}

static void
yard_free (gpointer p)
{
  struct wy_one_yard *x = p;

  g_hash_table_destroy (x->samplers);
  wy_scorer_free (x->scorer);
  g_free (x->current_key);
  g_free (x->model);
  g_free (x->name);
  g_free (x);
}

/* Stop and free P, a struct wy_sampler.  */
void
wy_yard_free_sampler (gpointer p)
{
  wy_sampler_stop (p);
  wy_sampler_free (p);
}

static void
free_rollout (gpointer p)
{
  wy_rollout_stop (p);
  wy_rollout_free (p);
}

static void
add_counters (struct wy_yard_env *env)
{
  struct wy_metrics *m = env->o.metrics;

  if (!m)
    return;
  env->n.finished = wy_metrics_counter (m, "wy_yard_samples_finished_total",
                                        "Samples whole and proven.");
  env->n.dropped = wy_metrics_counter (m, "wy_yard_samples_dropped_total",
                                       "Samples not delivered.");
  env->n.unproven
      = wy_metrics_counter (m, "wy_yard_samples_unproven_total",
                            "Samples whose versions were not proven.");
  env->n.batches
      = wy_metrics_counter (m, "wy_yard_batches_total", "Batches fixed.");
  env->n.scoring_failures = wy_metrics_counter (
      m, "wy_yard_scoring_failures_total", "Scoring calls that failed.");
  env->n.orders_failed = wy_metrics_counter (m, "wy_yard_orders_failed_total",
                                             "Weight orders that failed.");
}

/* Create the yards of an entry; there are none before wy_yard_configure.  */
struct wy_yard *
wy_yard_new (const struct wy_yard_options *o)
{
  struct wy_yard *y = g_malloc0 (sizeof *y);

  y->env.o = *o;
  y->env.o.holder = g_strdup (o->holder);
  if (!o->http)
    y->own_http = y->env.o.http = wy_http_client_new (o->loop, SILENCE_MS);
  y->env.on_unref = on_unref;
  wy_rng_seed (&y->env.rng, o->seed);
  add_counters (&y->env);
  y->yards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, yard_free);
  y->rollouts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_rollout);
  uv_timer_init (o->loop, &y->timer);
  y->timer.data = y;
  uv_timer_start (&y->timer, on_tick, TICK_MS, TICK_MS);
  return y;
}

/* Whether the configuration has YARD and, unless TRAINER is NULL, its TRAINER.
   Sets BOUND to the staleness bound of the yard, in versions.  */
bool
wy_yard_is_configured (const struct wy_yard *y, const char *yard,
                       const char *trainer, uint32_t *bound)
{
  const struct wy_one_yard *x = g_hash_table_lookup (y->yards, yard);

  if (!x || !x->configured
      || (trainer && !g_hash_table_contains (x->samplers, trainer)))
    return false;
  *bound = x->bound;
  return true;
}

/* The options of Y, for the requests of trainers.  */
const struct wy_yard_options *
wy_yard_options_of (const struct wy_yard *y)
{
  return &y->env.o;
}

/* Stop the samplers and rollouts, so that other entries take them over.
   Requests of trainers are still handled.  */
void
wy_yard_stop (struct wy_yard *y)
{
  GHashTableIter i;
  GHashTableIter k;
  gpointer p;
  gpointer s;

  if (y->stopped)
    return;
  y->stopped = true;
  g_hash_table_iter_init (&i, y->yards);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      g_hash_table_iter_init (&k, ((struct wy_one_yard *)p)->samplers);
      while (g_hash_table_iter_next (&k, NULL, &s))
        wy_sampler_stop (s);
    }
  g_hash_table_iter_init (&i, y->rollouts);
  while (g_hash_table_iter_next (&i, NULL, &p))
    wy_rollout_stop (p);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_yard *y = h->data;

  y->timer_closed = true;
  free_if_unused (y);
}

/* Free Y; must be called before the store is freed.  */
void
wy_yard_free (struct wy_yard *y)
{
  GHashTableIter i;
  gpointer p;

  y->stopped = true;
  y->closing = true;
  g_hash_table_iter_init (&i, y->yards);
  while (g_hash_table_iter_next (&i, NULL, &p))
    g_hash_table_remove_all (((struct wy_one_yard *)p)->samplers);
  g_hash_table_remove_all (y->rollouts);
  uv_close ((uv_handle_t *)&y->timer, on_timer_closed);
}
