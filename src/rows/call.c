/* The life of a call to the store: sent, answered, sent again on another path,
   lost.  */
#include "rows/client_state.h"

#include <string.h>

#include <glib.h>

#include "trace/json_log.h"

enum
{
  /* The store answers in some ms, and within half a second when it is slow;
     a call without an answer by then is taken for lost.  */
  ROWS_TIMEOUT_MS = 1200,
  TX_TIMEOUT_MS = 2000,
  /* An object takes some ten ms, or one and a half seconds when the store is
     slow, and its bytes, here at a fifteenth of what the slowest links carry.
     A lost answer costs a step no more.  */
  OBJECT_TIMEOUT_MS = 2000,
  OBJECT_BYTES_PER_MS = 512,
  /* A call is taken for lost when one that was made so much later has been
     answered: the slowest kind of call takes less than this over the fastest,
     on a store that is slow too.  */
  OVERTAKEN_MS = 600,
  SWEEP_MS = 100,
  /* Paths that one call is tried on, while that can do no harm: with half of
     the peers turned away as well, nine in ten calls get through.  */
  TRIES_MAX = 4,
  /* Refused for the rate alone for so long, a process is turned away.  */
  RATE_LIMITED_MS = 1500,
  /* Answers by which the store's clock is judged.  */
  OFFSET_SPAN_MS = 15000,
  STATUS_RATE = 429
};

/* Free K, which is not under way.  */
void
wy_rows_call_free (struct wy_rows_call *k)
{
  g_queue_remove (&k->store->calls, k);
  if (k->store->calls.length == 0)
    uv_timer_stop (&k->store->sweep);
  if (k->answer)
    g_string_free (k->answer, TRUE);
  g_free (k->target);
  g_free (k->body);
  g_free (k);
}

static void
count_end (struct wy_rows_call *k, bool ok, const char *why)
{
  struct wy_rows *s = k->store;

  if (k->relayed)
    {
      s->stats.relay_failed += !ok;
      if (!ok)
        wy_paths_relay_failed (&s->paths, &k->address,
                               wy_clock_mono_ms (s->clock));
      return;
    }
  s->stats.direct_failed += !ok;
  if (wy_paths_direct_ended (&s->paths, k->started_ms, ok))
    wy_json_log (ok ? "store.regained" : "store.lost", "path=direct reason=%s",
                 why);
}

/* The store's clock read STORE_MS when it answered, some time ago: the answer
   that was fastest on its way tells best, so the largest difference of the
   last spans is the one that counts.  */
static void
learn_time (struct wy_rows *s, int64_t store_ms)
{
  int64_t now_ms = wy_clock_mono_ms (s->clock);
  int64_t offset_ms = store_ms - now_ms;

  if (!s->has_now || now_ms - s->offset_since_ms >= OFFSET_SPAN_MS)
    {
      s->now_offset_ms = s->has_now ? s->offset_max_ms : offset_ms;
      s->offset_max_ms = offset_ms;
      s->offset_since_ms = now_ms;
      s->has_now = true;
    }
  s->offset_max_ms = MAX (s->offset_max_ms, offset_ms);
  s->now_offset_ms = MAX (s->now_offset_ms, s->offset_max_ms);
}

static void
count_traffic (struct wy_rows_call *k, const struct wy_rows_result *r)
{
  struct wy_table_traffic *t
      = wy_traffic_counters (&k->store->stats.traffic, k->table);

  t->calls++;
  t->rows_read += r->n;
  t->read_bytes += k->answer->len;
  t->written_bytes += k->body_size_bytes;
}

static void
deliver (struct wy_rows_call *k, const struct wy_rows_result *r)
{
  wy_rows_cb *cb = k->cb;
  void *ctx = k->ctx;

  count_traffic (k, r);
  if (r->store_now_ms)
    learn_time (k->store, r->store_now_ms);
  if (k->forward_cb)
    k->forward_cb (ctx, k->status, k->answer->str, k->answer->len);
  else
    cb (ctx, r);
  wy_rows_call_free (k);
}

static void send_call (struct wy_rows_call *k);

static bool
only_reads (enum wy_store_verb verb)
{
  switch (verb)
    {
    case WY_STORE_GET:
    case WY_STORE_PARTITIONS:
    case WY_STORE_FEED:
    case WY_STORE_GET_OBJECT:
      return true;
    case WY_STORE_TX:
    case WY_STORE_PUT_OBJECT:
    case WY_STORE_DELETE_OBJECT:
      break;
    }
  return false;
}

/* Whether K, which has failed with ERR, is sent again on another path: one
   that changes something only if it was certainly not done.  A peer's call is
   not, since the peer has other paths itself.  While the store is away for
   all, calls are not multiplied.  */
static bool
try_again (struct wy_rows_call *k, int err)
{
  struct wy_rows *s = k->store;
  int64_t now_ms = wy_clock_mono_ms (s->clock);

  if (k->forward_cb || k->tries >= TRIES_MAX || now_ms >= k->deadline_ms
      || (err != WY_ROWS_EREFUSED && !only_reads (k->verb))
      || wy_rows_is_unreachable (s) || !wy_paths_has_other (&s->paths, now_ms))
    return false;
  k->status = 0;
  g_string_truncate (k->answer, 0);
  send_call (k);
  return true;
}

static bool
is_rate_limited (const struct wy_rows_call *k)
{
  return k->status == STATUS_RATE;
}

/* Whether K was refused for the rate because this process is turned away.  The
   rate is everybody's, so when many processes start at once some calls of each
   are refused: its path works, and a detour over a peer would only add to the
   load.  But a store may also turn one process away in this manner, and then
   it answers none of its calls.  */
static bool
is_turned_away_by_rate (const struct wy_rows_call *k)
{
  const struct wy_rows *s = k->store;

  return !k->relayed
         && wy_clock_mono_ms (s->clock) - s->paths.direct_heard_ms
                > RATE_LIMITED_MS;
}

static void
fail (struct wy_rows_call *k, int err, const char *why)
{
  struct wy_rows_result r = { .err = err };
  bool rate_limited = is_rate_limited (k) && !is_turned_away_by_rate (k);

  if (!rate_limited)
    count_end (k, false, why);
  wy_json_log ("store.call_failed", "verb=%s via=%s outcome=%s reason=%s",
               wy_store_verb_name (k->verb), k->relayed ? "peer" : "direct",
               err == WY_ROWS_EREFUSED ? "not_done" : "unknown", why);
  if (!rate_limited && try_again (k, err))
    return;
  k->store->stats
      .calls_by_outcome[k->verb][err == WY_ROWS_EREFUSED ? WY_ROWS_NOT_DONE
                                                         : WY_ROWS_UNKNOWN]++;
  /* A peer is told what is known, by the codes that the store itself uses. */
  if (!rate_limited)
    k->status = err == WY_ROWS_EREFUSED ? 503 : 504;
  g_string_truncate (k->answer, 0);
  deliver (k, &r);
}

/* End the calls for which IS_LOST holds.  No owner ends a call of its own, so
   the ones found stay valid until their turn.  */
static void
end_lost (struct wy_rows *s,
          bool (*is_lost) (const struct wy_rows_call *k, int64_t than_ms),
          int64_t than_ms, const char *why)
{
  GPtrArray *lost = g_ptr_array_new ();

  for (GList *l = s->calls.head; l; l = l->next)
    if (is_lost (l->data, than_ms))
      g_ptr_array_add (lost, l->data);
  for (guint i = 0; i < lost->len; i++)
    {
      struct wy_rows_call *k = g_ptr_array_index (lost, i);

      if (k->http)
        wy_h1_call_cancel (k->http);
      k->http = NULL;
      fail (k, WY_ROWS_EUNKNOWN, why);
    }
  g_ptr_array_free (lost, TRUE);
}

static bool
is_overdue (const struct wy_rows_call *k, int64_t now_ms)
{
  return now_ms >= k->deadline_ms;
}

/* Whether K is older than a call that was answered, made at MADE_MS, by more
   than calls differ in their times.  What went out while the store was away is
   not answered when it is back, and without this all that waits for it would
   wait for its time limit.  Objects take longer than rows by more than that on
   a slow store, so for them the call must be the one that showed the store to
   be back.  */
static bool
is_overtaken (const struct wy_rows_call *k, int64_t made_ms)
{
  switch (k->verb)
    {
    case WY_STORE_FEED:
      return false;
    case WY_STORE_PUT_OBJECT:
    case WY_STORE_GET_OBJECT:
    case WY_STORE_DELETE_OBJECT:
      made_ms = k->store->paths.regained_ms;
      break;
    case WY_STORE_GET:
    case WY_STORE_PARTITIONS:
    case WY_STORE_TX:
      break;
    }
  return made_ms - k->started_ms > OVERTAKEN_MS + k->transfer_ms;
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  ((struct wy_rows_call *)ctx)->status = a->status;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  struct wy_rows_call *k = ctx;

  g_string_append_len (k->answer, p, (gssize)n);
  /* How long an object is shows as it comes.  */
  if (k->verb == WY_STORE_GET_OBJECT)
    k->deadline_ms = wy_clock_mono_ms (k->store->clock) + OBJECT_TIMEOUT_MS;
}

static void
on_end (void *ctx, int err)
{
  struct wy_rows_call *k = ctx;
  struct wy_rows_result r = { 0 };
  struct wy_store_response *decoded;

  if (err)
    {
      bool sent = wy_h1_call_sent (k->http);

      k->http = NULL;
      fail (k, sent ? WY_ROWS_EUNKNOWN : WY_ROWS_EREFUSED,
            sent ? "broken_off" : "no_connection");
      return;
    }
  k->http = NULL;
  decoded = wy_store_decode_response (k->verb, k->status, k->answer->str,
                                      k->answer->len, &r);
  if (r.err == WY_ROWS_EREFUSED || r.err == WY_ROWS_EUNKNOWN)
    fail (k, r.err, is_rate_limited (k) ? "rate" : "turned_away");
  else
    {
      struct wy_rows *s = k->store;
      int64_t made_ms = k->started_ms;

      s->stats.calls_by_outcome[k->verb][WY_ROWS_DONE]++;
      s->answered_ms = wy_clock_mono_ms (s->clock);
      count_end (k, true, "answered");
      deliver (k, &r);
      end_lost (s, is_overtaken, made_ms, "overtaken");
    }
  wy_store_response_free (decoded);
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_rows *s = t->data;

  end_lost (s, is_overdue, wy_clock_mono_ms (s->clock), "timeout");
}

static uint32_t
timeout_of (enum wy_store_verb verb)
{
  switch (verb)
    {
    case WY_STORE_GET:
    case WY_STORE_PARTITIONS:
    case WY_STORE_FEED:
      return ROWS_TIMEOUT_MS;
    case WY_STORE_TX:
      return TX_TIMEOUT_MS;
    case WY_STORE_PUT_OBJECT:
    case WY_STORE_GET_OBJECT:
    case WY_STORE_DELETE_OBJECT:
      return OBJECT_TIMEOUT_MS;
    }
  return ROWS_TIMEOUT_MS;
}

/* A call that is still to be started; takes TARGET over.  */
struct wy_rows_call *
wy_rows_call_new (struct wy_rows *s, enum wy_store_verb verb,
                  const char *table, char *target, wy_rows_cb *cb, void *ctx)
{
  struct wy_rows_call *k = g_new0 (struct wy_rows_call, 1);

  k->store = s;
  k->verb = verb;
  k->table = g_intern_string (table);
  k->method = wy_store_method (verb);
  k->target = target;
  k->answer = g_string_new (NULL);
  k->cb = cb;
  k->ctx = ctx;
  k->started_ms = wy_clock_mono_ms (s->clock);
  k->deadline_ms = k->started_ms + timeout_of (verb);
  g_queue_push_tail (&s->calls, k);
  if (s->calls.length == 1)
    uv_timer_start (&s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  s->stats.calls++;
  return k;
}

static void
send_call (struct wy_rows_call *k)
{
  struct wy_rows *s = k->store;
  char host[64];
  char ip[INET_ADDRSTRLEN];
  struct wy_h1_header fields[3];
  struct wy_h1_call_options o = { .method = k->method,
                                  .target = k->target,
                                  .fields = fields,
                                  .body = k->body,
                                  .body_size_bytes = k->body_size_bytes,
                                  .has_body = k->body != NULL,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = k };

  k->tries++;
  k->started_ms = wy_clock_mono_ms (s->clock);
  k->relayed = false;
  k->address = k->forward_cb
                   ? s->paths.direct
                   : wy_paths_choose (&s->paths, k->started_ms, &k->relayed);
  s->stats.relayed += k->relayed;
  o.address = k->address;
  uv_ip4_name (&k->address, ip, sizeof ip);
  g_snprintf (host, sizeof host, "%s:%u", ip, ntohs (k->address.sin_port));
  fields[0].name = "Host";
  fields[0].value = host;
  o.n_fields = 1 + wy_store_header_fields (k->verb, fields + 1);
  k->http = wy_h1_call_start (s->http, &o);
}

/* Send K with a body of N bytes, which is copied; NULL: none.  */
void
wy_rows_call_start (struct wy_rows_call *k, const void *body, size_t n)
{
  if (body)
    {
      k->body = g_malloc (n + 1);
      memcpy (k->body, body, n);
      k->body_size_bytes = n;
    }
  if (k->verb == WY_STORE_PUT_OBJECT)
    k->transfer_ms = (int64_t)(n / OBJECT_BYTES_PER_MS);
  k->deadline_ms += k->transfer_ms;
  send_call (k);
}
