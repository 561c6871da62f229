/* Targets of a weight rollout: their reported versions and their orders.  */
#include <string.h>

#include "trace/log.h"
#include "yard/rollout_state.h"

enum
{
  /* Failed orders after which a target is logged and gets further orders only
     at the longest interval.  */
  ORDER_ATTEMPTS = 4,
  RETRY_MIN_MS = 500,
  RETRY_MAX_MS = 30000,
  /* Agents report their versions with their heartbeats.  After an order has
     succeeded, reports are ignored for this time: one sent before the order
     would look as if it had failed.  */
  REPORT_LAG_MS = 3000
};

/* Free P, a struct wy_rollout_target.  */
void
wy_rollout_target_free (gpointer p)
{
  struct wy_rollout_target *x = p;

  g_free (x->id);
  g_free (x);
}

static gint
by_id (gconstpointer a, gconstpointer b)
{
  const struct wy_rollout_target *x
      = *(const struct wy_rollout_target *const *)a;
  const struct wy_rollout_target *y
      = *(const struct wy_rollout_target *const *)b;

  return strcmp (x->id, y->id);
}

static struct wy_rollout_target *
find_or_add (struct wy_rollout *r, const char *id)
{
  struct wy_rollout_target *x = g_hash_table_lookup (r->targets, id);

  if (x)
    return x;
  x = g_new0 (struct wy_rollout_target, 1);
  x->rollout = r;
  x->id = g_strdup (id);
  g_hash_table_insert (r->targets, x->id, x);
  return x;
}

/* Update the targets of R from their reports, and sort those that are up by
   id.  */
void
wy_rollout_update_targets (struct wy_rollout *r)
{
  const struct wy_orderer *orderer = r->env->o.orderer;
  size_t n = orderer->targets (orderer->ctx, r->model, r->views,
                               WY_ROLLOUT_TARGETS_MAX);

  g_ptr_array_set_size (r->ready_targets, 0);
  for (size_t i = 0; i < n; i++)
    {
      struct wy_rollout_target *x = find_or_add (r, r->views[i].id);

      x->view = r->views[i];
      x->up = x->view.up;
      if (!x->order_done_ms
          || wy_rollout_now_ms (r) - x->order_done_ms > REPORT_LAG_MS)
        {
          x->version = x->view.version;
          x->staged_version = x->view.staged_version;
        }
      if (x->up)
        g_ptr_array_add (r->ready_targets, x);
    }
  g_ptr_array_sort (r->ready_targets, by_id);
}

static void
on_order_failed (struct wy_rollout_target *x, int result)
{
  struct wy_rollout *r = x->rollout;
  uint32_t wait = RETRY_MIN_MS;

  x->failed_orders++;
  for (uint32_t i = 1; i < x->failed_orders && wait < RETRY_MAX_MS; i++)
    wait *= 2;
  if (x->failed_orders >= ORDER_ATTEMPTS)
    wait = RETRY_MAX_MS;
  x->retry_ms
      = wy_rollout_now_ms (r) + wait / 2 + wy_rng_below (&r->env->rng, wait);
  if (r->env->n.orders_failed)
    ++*r->env->n.orders_failed;
  wy_log (WY_LOG_WARN, "order_failed",
          "target=%s model=%s version=%lld in_force=%lld err=%d tries=%u",
          x->id, r->model, (long long)x->ordered_version,
          (long long)x->version, result, x->failed_orders);
  if (x->failed_orders == ORDER_ATTEMPTS)
    wy_log (WY_LOG_ERROR, "target_keeps_old_version",
            "target=%s model=%s version=%lld", x->id, r->model,
            (long long)x->version);
}

static void
on_order_done (void *ctx, int result, int64_t version)
{
  struct wy_rollout_target *x = ctx;
  struct wy_rollout *r = x->rollout;

  r->pending_orders--;
  x->order_pending = false;
  if (r->closing)
    {
      wy_rollout_free_if_unused (r);
      return;
    }
  wy_rollout_wake (r);
  /* An agent that was restarted knows no fencing token and requires that the
     order is repeated, so that a delayed order from an earlier holder of the
     lease has no effect.  This is no failure; the next tick checks the lease
     and repeats the order.  */
  if (result == WY_ORDER_ECONFIRM)
    return;
  if (result)
    {
      x->order_done_ms = 0;
      on_order_failed (x, result);
      return;
    }
  x->order_done_ms = wy_rollout_now_ms (r);
  x->retry_ms = 0;
  if (x->kind == WY_ORDER_STAGE)
    x->staged_version = x->ordered_version;
  else
    x->version = version;
  if (x->kind == WY_ORDER_ACTIVATE)
    x->failed_orders = 0;
}

/* Send X the order KIND for the goal of its rollout.  SOURCE is the address of
   the agent to fetch the weights from, or "" for the weight store.  */
void
wy_rollout_target_order (struct wy_rollout_target *x, enum wy_order_kind kind,
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

  if (x->ordered_version != r->goal)
    x->failed_orders = 0;
  x->ordered_version = r->goal;
  x->kind = kind;
  x->order_pending = true;
  r->pending_orders++;
  orderer->order (orderer->ctx, &request, on_order_done, x);
}
