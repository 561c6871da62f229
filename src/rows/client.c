/* Calls to the store: directly, or through a peer while the store rejects this
   process.  */
#include "rows/client_state.h"

#include <string.h>

#include "trace/json_log.h"

/* Names under which calls without a table are counted.  */
#define OBJECTS "(objects)"
#define FORWARDED "(forwarded)"

enum
{
  /* Limit of an object where the settings don't say it.  */
  OBJECT_DEFAULT_BYTES = 32 << 20,
  /* The store counts as unreachable when the direct path fails and no response
     has come on any path for this long; while a peer reaches it, responses
     come several times a second.  */
  UNREACHABLE_MS = 600,
  /* Time for the response to a feed call beyond the wait that it asks for.  */
  FEED_GRACE_MS = 600
};

/* Read the rows of RANGE in the order of their keys.  */
void
wy_rows_get (struct wy_rows *s, const struct wy_rows_range *range,
             wy_rows_cb *cb, void *ctx)
{
  wy_rows_call_start (wy_rows_call_new (s, WY_STORE_GET, range->table,
                                        wy_store_get_target (range), cb, ctx),
                      NULL, 0);
}

/* List the partitions of TABLE after AFTER (NULL: from the first).  */
void
wy_rows_list_partitions (struct wy_rows *s, const char *table,
                         const char *after, wy_rows_cb *cb, void *ctx)
{
  wy_rows_call_start (
      wy_rows_call_new (s, WY_STORE_PARTITIONS, table,
                        wy_store_partitions_target (table, after), cb, ctx),
      NULL, 0);
}

/* Read the changes of TABLE newer than version AFTER; waits up to WAIT_MS for
   one.  WY_ROWS_ECOMPACTED if changes after AFTER are no longer available.  */
void
wy_rows_read_feed (struct wy_rows *s, const char *table, int64_t after,
                   uint32_t wait_ms, wy_rows_cb *cb, void *ctx)
{
  struct wy_rows_call *k = wy_rows_call_new (
      s, WY_STORE_FEED, table, wy_store_feed_target (table, after, wait_ms),
      cb, ctx);

  k->deadline_ms = wy_clock_mono_ms (s->clock) + wait_ms + FEED_GRACE_MS;
  wy_rows_call_start (k, NULL, 0);
}

static const char *
table_of (const struct wy_rows_tx *tx)
{
  if (tx->n_writes)
    return tx->writes->table;
  return tx->n_removals ? tx->removals->table : "";
}

/* Commit TX.  After WY_ROWS_ECONFLICT the result holds the current rows of the
   conditions.  */
void
wy_rows_tx (struct wy_rows *s, const struct wy_rows_tx *tx, wy_rows_cb *cb,
            void *ctx)
{
  struct wy_rows_call *k = wy_rows_call_new (s, WY_STORE_TX, table_of (tx),
                                             wy_store_tx_target (), cb, ctx);
  char *body = wy_store_tx_body (tx);

  /* Without a body the store refuses the call, so the caller learns that
     nothing was done.  */
  if (!body)
    wy_json_log ("store.unsendable", "table=%s rows=%zu", table_of (tx),
                 tx->n_writes + tx->n_removals);
  wy_rows_call_start (k, body, body ? strlen (body) : 0);
  g_free (body);
}

/* Store the N bytes at P as the object NAME; WY_ROWS_ECONFLICT if it
   exists.  */
void
wy_rows_put_object (struct wy_rows *s, const char *name, const void *p,
                    size_t n, wy_rows_cb *cb, void *ctx)
{
  wy_rows_call_start (
      wy_rows_call_new (s, WY_STORE_PUT_OBJECT, OBJECTS,
                        wy_store_object_target (WY_STORE_PUT_OBJECT, name), cb,
                        ctx),
      p, n);
}

/* Fetch the object NAME.  */
void
wy_rows_get_object (struct wy_rows *s, const char *name, wy_rows_cb *cb,
                    void *ctx)
{
  wy_rows_call_start (
      wy_rows_call_new (s, WY_STORE_GET_OBJECT, OBJECTS,
                        wy_store_object_target (WY_STORE_GET_OBJECT, name), cb,
                        ctx),
      NULL, 0);
}

/* Delete the object NAME.  */
void
wy_rows_delete_object (struct wy_rows *s, const char *name, wy_rows_cb *cb,
                       void *ctx)
{
  wy_rows_call_start (
      wy_rows_call_new (s, WY_STORE_DELETE_OBJECT, OBJECTS,
                        wy_store_object_target (WY_STORE_DELETE_OBJECT, name),
                        cb, ctx),
      NULL, 0);
}

/* Forward a peer's call unchanged.  ON_DONE receives the store's response, 503
   if the call was certainly not done, or 504 if that is unknown.  */
void
wy_rows_forward (struct wy_rows *s, const char *method, const char *target,
                 const void *body, size_t n,
                 void (*on_done) (void *ctx, int status, const char *body,
                                  size_t n),
                 void *ctx)
{
  enum wy_store_verb verb;
  struct wy_rows_call *k;

  if (!wy_store_parse_verb (method, target, &verb))
    {
      on_done (ctx, 404, "", 0);
      return;
    }
  k = wy_rows_call_new (s, verb, FORWARDED, g_strdup (target), NULL, ctx);
  k->forward_cb = on_done;
  if (verb == WY_STORE_FEED)
    k->deadline_ms += (int64_t)wy_store_feed_wait_ms (target) + FEED_GRACE_MS;
  wy_rows_call_start (
      k, verb == WY_STORE_TX || verb == WY_STORE_PUT_OBJECT ? body : NULL,
      verb == WY_STORE_TX || verb == WY_STORE_PUT_OBJECT ? n : 0);
}

/* Create a client of the store with the options O.  */
struct wy_rows *
wy_rows_new (const struct wy_rows_options *o)
{
  struct wy_rows *s = g_new0 (struct wy_rows, 1);

  s->loop = o->loop;
  s->clock = o->clock;
  s->http = o->http;
  s->memory = o->memory;
  s->object_bytes = o->object_bytes ? o->object_bytes : OBJECT_DEFAULT_BYTES;
  wy_rng_seed (&s->rng, o->seed);
  s->last_response_ms = wy_clock_mono_ms (o->clock);
  wy_paths_init (&s->paths, &o->address,
                 wy_rng_below (&s->rng, WY_PATHS_RELAYS_MAX));
  s->paths.direct_answered_ms = s->last_response_ms;
  g_queue_init (&s->calls);
  uv_timer_init (o->loop, &s->sweep);
  s->sweep.data = s;
  return s;
}

static void
on_sweep_closed (uv_handle_t *h)
{
  g_free (h->data);
}

/* Cancel all calls without their callbacks; S is freed on the next turn of the
   loop.  */
void
wy_rows_free (struct wy_rows *s)
{
  struct wy_rows_call *k;

  while ((k = g_queue_peek_head (&s->calls)))
    {
      if (k->http)
        wy_h1_call_cancel (k->http);
      wy_rows_call_free (k);
    }
  uv_close ((uv_handle_t *)&s->sweep, on_sweep_closed);
}

/* Set the N peers that forward calls.  */
void
wy_rows_set_relays (struct wy_rows *s, const struct sockaddr_in *peers,
                    size_t n)
{
  wy_paths_set_relays (&s->paths, peers, n);
}

/* Whether the direct path to the store works.  */
bool
wy_rows_is_direct (const struct wy_rows *s)
{
  return s->paths.direct_ok;
}

/* Time until the direct path, which fails, is probed again; -1 if not known,
   as when the probe is due and goes with the next call.  */
int64_t
wy_rows_next_probe_ms (const struct wy_rows *s)
{
  int64_t ms = s->paths.next_probe_ms - wy_clock_mono_ms (s->clock);

  return s->paths.direct_ok || ms <= 0 ? -1 : ms;
}

/* Copy the statistics of S to OUT.  */
void
wy_rows_stats (const struct wy_rows *s, struct wy_rows_stats *out)
{
  *out = s->stats;
  out->direct_ok = s->paths.direct_ok;
}

/* The store's monotonic clock, estimated from its last responses; 0 before the
   first.  */
int64_t
wy_rows_store_now_ms (const struct wy_rows *s)
{
  if (!s->has_store_clock)
    return 0;
  return wy_clock_mono_ms (s->clock) + s->clock_offset_ms;
}

/* Whether the store is unreachable on all paths.  */
bool
wy_rows_is_unreachable (const struct wy_rows *s)
{
  return !s->paths.direct_ok
         && wy_clock_mono_ms (s->clock) - s->last_response_ms > UNREACHABLE_MS;
}
