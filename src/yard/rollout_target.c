/* Targets of a weight rollout: what they report, and the orders they get.  */
#include <string.h>

#include "trace/log.h"
#include "yard/rollout_state.h"

enum
{
  ORDER_TRIES = 4,
  RETRY_MIN_MS = 500,
  RETRY_MAX_MS = 30000,
  /* Reports of agents come with their heartbeats; one that is older than an
     order must not be taken for its failure.  */
  REPORT_LAG_MS = 3000
};

/* Free P, a struct wy_replica.  */
void
wy_replica_free (gpointer p)
{
  struct wy_replica *x = p;

  g_free (x->id);
  g_free (x);
}

static gint
by_id (gconstpointer a, gconstpointer b)
{
  const struct wy_replica *x = *(const struct wy_replica *const *)a;
  const struct wy_replica *y = *(const struct wy_replica *const *)b;

  return strcmp (x->id, y->id);
}

static struct wy_replica *
find_or_add (struct wy_rollout *r, const char *id)
{
  struct wy_replica *x = g_hash_table_lookup (r->replicas, id);

  if (x)
    return x;
  x = g_new0 (struct wy_replica, 1);
  x->rollout = r;
  x->id = g_strdup (id);
  g_hash_table_insert (r->replicas, x->id, x);
  return x;
}

/* Learn what the targets report, and put those that are up in order.  */
void
wy_rollout_look (struct wy_rollout *r)
{
  const struct wy_orderer *orderer = r->env->o.orderer;
  size_t n = orderer->targets (orderer->ctx, r->model, r->views,
                               WY_ROLLOUT_TARGETS_MAX);

  g_ptr_array_set_size (r->order, 0);
  for (size_t i = 0; i < n; i++)
    {
      struct wy_replica *x = find_or_add (r, r->views[i].id);

      x->view = r->views[i];
      x->up = x->view.up;
      if (!x->answered_ms
          || wy_rollout_now_ms (r) - x->answered_ms > REPORT_LAG_MS)
        {
          x->version = x->view.version;
          x->staged = x->view.staged_version;
        }
      if (x->up)
        g_ptr_array_add (r->order, x);
    }
  g_ptr_array_sort (r->order, by_id);
}

static void
failed (struct wy_replica *x, int result)
{
  struct wy_rollout *r = x->rollout;
  uint32_t wait = RETRY_MIN_MS;

  x->tries++;
  for (uint32_t i = 1; i < x->tries && wait < RETRY_MAX_MS; i++)
    wait *= 2;
  if (x->tries >= ORDER_TRIES)
    wait = RETRY_MAX_MS;
  x->retry_ms
      = wy_rollout_now_ms (r) + wait / 2 + wy_rng_below (&r->env->rng, wait);
  if (r->env->n.orders_failed)
    ++*r->env->n.orders_failed;
  wy_log (WY_LOG_WARN, "order_failed",
          "target=%s model=%s version=%lld in_force=%lld err=%d tries=%u",
          x->id, r->model, (long long)x->ordered, (long long)x->version,
          result, x->tries);
  if (x->tries == ORDER_TRIES)
    wy_log (WY_LOG_ERROR, "target_keeps_old_version",
            "target=%s model=%s version=%lld", x->id, r->model,
            (long long)x->version);
}

static void
on_ordered (void *ctx, int result, int64_t version)
{
  struct wy_replica *x = ctx;
  struct wy_rollout *r = x->rollout;

  r->awaited--;
  x->awaited = false;
  if (r->closing)
    {
      wy_rollout_destroy (r);
      return;
    }
  wy_rollout_wake (r);
  /* An agent that was restarted knows no fencing number and has an order
     repeated, so that one given under an old lease dies out.  The next tick
     asks the lease again; nothing has failed.  */
  if (result == WY_ORDER_ECONFIRM)
    return;
  if (result)
    {
      x->answered_ms = 0;
      failed (x, result);
      return;
    }
  x->answered_ms = wy_rollout_now_ms (r);
  x->retry_ms = 0;
  if (x->kind == WY_ORDER_STAGE)
    x->staged = x->ordered;
  else
    x->version = version;
  if (x->kind == WY_ORDER_ACTIVATE)
    x->tries = 0;
}

/* Give X the order KIND for the goal of its rollout, to fetch from
   SOURCE.  */
void
wy_replica_order (struct wy_replica *x, enum wy_order_kind kind,
                  const char *source)
{
  struct wy_rollout *r = x->rollout;
  const struct wy_orderer *orderer = r->env->o.orderer;
  const struct wy_order_request request
      = { .target = x->id,
          .lease = wy_lease_name (r->lease),
          .fencing_token = wy_lease_fencing_token (r->lease),
          .kind = kind,
          .model = r->model,
          .version = r->goal,
          .source = source };

  if (x->ordered != r->goal)
    x->tries = 0;
  x->ordered = r->goal;
  x->kind = kind;
  x->awaited = true;
  r->awaited++;
  orderer->order (orderer->ctx, &request, on_ordered, x);
}
