/* Orders to the agents.

   An order is sent once.  When its connection fails or no result arrives, its
   effect is unknown: the orderer reads the version in force from the target's
   reports and sends a new order, which the fencing token makes safe.  */
#include "entry/orderer.h"

#include <string.h>

#include "entry/peers.h"
#include "entry/pool.h"

enum
{
  /* Includes fetching a weight version at the rate of the store.  */
  ORDER_TIMEOUT_MS = 60000
};

/* Free ORDER, a struct wy_order.  */
void
wy_order_free (void *order)
{
  struct wy_order *o = order;

  g_free (o->id);
  g_free (o->target);
  g_free (o);
}

static void
complete_order (struct wy_order *o, int result, int64_t version)
{
  g_hash_table_steal (o->entry->orders, o->id);
  if (o->on_done)
    o->on_done (o->ctx, result, version);
  wy_order_free (o);
}

/* Send the order R.  FINGERPRINT is used for WY_ORDER_UNBLOCK only.  ON_DONE,
   which may be NULL, is called once, with the agent's result or
   WY_ENTRY_ELOST.  */
void
wy_order_send (struct wy_entry *e, const struct wy_order_request *r,
               uint64_t fingerprint,
               void (*on_done) (void *ctx, int result, int64_t version),
               void *ctx)
{
  struct wy_peer *p = g_hash_table_lookup (e->peers, r->target);
  struct wy_order *o = g_malloc0 (sizeof *o);
  struct wy_frame f = { .kind = WY_FRAME_ORDER };

  o->entry = e;
  o->id = g_malloc (WY_ID_SIZE_BYTES);
  wy_id_new (e->clock, o->id);
  o->target = g_strdup (r->target);
  o->on_done = on_done;
  o->ctx = ctx;
  o->expires_ms = wy_clock_mono_ms (e->clock) + ORDER_TIMEOUT_MS;
  g_hash_table_insert (e->orders, o->id, o);
  f.u.order.order = wy_bytes_of (o->id);
  f.u.order.lease = wy_bytes_of (r->lease ? r->lease : "");
  f.u.order.fence = r->fencing_token;
  f.u.order.kind = r->kind;
  f.u.order.model = wy_bytes_of (r->model ? r->model : "");
  f.u.order.version = r->version;
  f.u.order.source = wy_bytes_of (r->source ? r->source : "");
  f.u.order.fingerprint = fingerprint;
  /* Failed by the next sweep, so that ON_DONE is never called before this
     function returns.  */
  if (!p || wy_peer_send (p, &f))
    o->expires_ms = 0;
}

/* Handle ORDERED from P, the result of an order.  */
void
wy_order_result_frame (struct wy_peer *p, const struct wy_frame_ordered *f)
{
  char *id = wy_bytes_dup (f->order);
  struct wy_order *o = g_hash_table_lookup (p->entry->orders, id);

  g_free (id);
  if (o && !strcmp (o->target, p->id))
    complete_order (o, f->result, f->version);
}

static void
fail_if (struct wy_entry *e,
         bool (*matches) (const struct wy_order *o, const void *arg),
         const void *arg)
{
  GHashTableIter i;
  gpointer order;
  GPtrArray *failed = g_ptr_array_new ();

  g_hash_table_iter_init (&i, e->orders);
  while (g_hash_table_iter_next (&i, NULL, &order))
    if (matches (order, arg))
      g_ptr_array_add (failed, order);
  for (guint k = 0; k < failed->len; k++)
    complete_order (failed->pdata[k], WY_ENTRY_ELOST, 0);
  g_ptr_array_free (failed, TRUE);
}

static bool
is_for (const struct wy_order *o, const void *target)
{
  return !strcmp (o->target, target);
}

static bool
is_expired (const struct wy_order *o, const void *now_ms)
{
  return *(const int64_t *)now_ms >= o->expires_ms;
}

/* The connection to P is closed: fail the orders that wait for its
   results.  */
void
wy_orders_fail_peer (struct wy_peer *p)
{
  fail_if (p->entry, is_for, p->id);
}

/* Fail orders whose time limit has passed.  */
void
wy_orders_sweep (struct wy_entry *e, int64_t now_ms)
{
  fail_if (e, is_expired, &now_ms);
}

static void
send_order (void *ctx, const struct wy_order_request *r,
            void (*on_done) (void *done_ctx, int result, int64_t version),
            void *done_ctx)
{
  wy_order_send (ctx, r, 0, on_done, done_ctx);
}

static size_t
list_targets (void *ctx, const char *model, struct wy_target_view *out,
              size_t limit)
{
  struct wy_entry *e = ctx;
  GHashTableIter i;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&i, e->peers);
  while (n < limit && g_hash_table_iter_next (&i, NULL, &value))
    {
      struct wy_peer *p = value;

      if (strcmp (p->pool->name, model) != 0 || !p->listed)
        continue;
      /* A rollout covers all targets of the model, also those outside this
         entry's subset.  Only the lease holder calls this.  */
      wy_peer_connect (p);
      out[n++] = (struct wy_target_view){
        .id = p->id,
        .availability_zone = p->availability_zone,
        .weights_source = p->weights_source ? p->weights_source : "",
        .version = p->load.version,
        .staged_version = p->load.staged_version,
        .interactive_running
        = p->load.running - MIN (p->load.running, p->load.running_rollout),
        .streams_max = p->load.streams_max,
        .up = p->ready && p->has_load && p->load.target_up,
      };
    }
  return n;
}

/* The interface through which a weight rollout sends orders to the targets of
   E.  */
struct wy_orderer
wy_entry_orderer (struct wy_entry *e)
{
  return (struct wy_orderer){ .order = send_order,
                              .targets = list_targets,
                              .ctx = e };
}
