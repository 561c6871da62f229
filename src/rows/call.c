/* One call to the store: sending, response, retry on another path,
   timeout.  */
#include "rows/client_state.h"

#include <string.h>

#include <glib.h>

#include "trace/json_log.h"

enum
{
  /* The store responds within some ms, or within half a second when it is
     slow.  A call without a response by then counts as lost.  */
  ROWS_TIMEOUT_MS = 1200,
  TX_TIMEOUT_MS = 2000,
  /* An object takes some ten ms, or one and a half seconds when the store is
     slow, plus the transfer of its bytes, here at a fifteenth of what the
     slowest links carry.  A lost response delays a step by no more than
     this.  */
  OBJECT_TIMEOUT_MS = 2000,
  OBJECT_BYTES_PER_MS = 512,
  /* A call counts as lost when one sent this much later has received a
     response: the slowest kind of call takes less than this over the fastest,
     also on a slow store.  */
  OVERTAKEN_MS = 600,
  SWEEP_MS = 100,
  /* Limit of attempts of one call on different paths, if repeating it is
     harmless.  With half of the peers rejected by the store as well, nine in
     ten calls succeed.  */
  ATTEMPTS_MAX = 4,
  /* A process that has received nothing but 429 for this long counts as
     rejected by the store.  */
  RATE_LIMIT_GRACE_MS = 1500,
  /* Responses of this window determine the offset of the store's clock.  */
  OFFSET_WINDOW_MS = 15000,
  STATUS_TOO_MANY_REQUESTS = 429,
  /* Pages of rows end at 1 MB of values; changes come in one page.  */
  PAGE_LIMIT_BYTES = 4 << 20,
  CHANGES_LIMIT_BYTES = 32 << 20,
  /* The head, and the rows around an object.  */
  OBJECT_MARGIN_BYTES = 1 << 20
};

static void
discard_response (struct wy_rows_call *k)
{
  wy_memory_account_add (k->store->memory, WY_MEMORY_STORE,
                         -(int64_t)k->response_body->len);
  g_string_truncate (k->response_body, 0);
}

/* Free K, which must have no HTTP call in progress.  */
void
wy_rows_call_free (struct wy_rows_call *k)
{
  g_queue_remove (&k->store->calls, k);
  if (k->store->calls.length == 0)
    uv_timer_stop (&k->store->sweep);
  wy_memory_account_add (k->store->memory, WY_MEMORY_STORE,
                         -(int64_t)k->body_size_bytes);
  discard_response (k);
  g_string_free (k->response_body, TRUE);
  g_free (k->target);
  g_free (k->body);
  g_free (k);
}

static void
record_result (struct wy_rows_call *k, bool ok, const char *why)
{
  struct wy_rows *s = k->store;

  if (k->relayed)
    {
      s->stats.relay_failed += !ok;
      if (!ok)
        wy_paths_record_relay_failure (&s->paths, &k->address,
                                       wy_clock_mono_ms (s->clock));
      return;
    }
  s->stats.direct_failed += !ok;
  if (wy_paths_record_direct (&s->paths, k->started_ms, ok))
    wy_json_log (ok ? "store.regained" : "store.lost", "path=direct reason=%s",
                 why);
}

/* Estimate the offset of the store's clock from STORE_MS, its time when it
   responded.  The response with the least delay is the most accurate, so the
   largest offset of the current and the previous window counts.  */
static void
update_clock_offset (struct wy_rows *s, int64_t store_ms)
{
  int64_t now_ms = wy_clock_mono_ms (s->clock);
  int64_t offset_ms = store_ms - now_ms;

  if (!s->has_store_clock
      || now_ms - s->offset_window_start_ms >= OFFSET_WINDOW_MS)
    {
      s->clock_offset_ms = s->has_store_clock ? s->max_offset_ms : offset_ms;
      s->max_offset_ms = offset_ms;
      s->offset_window_start_ms = now_ms;
      s->has_store_clock = true;
    }
  s->max_offset_ms = MAX (s->max_offset_ms, offset_ms);
  s->clock_offset_ms = MAX (s->clock_offset_ms, s->max_offset_ms);
}

static void
count_traffic (struct wy_rows_call *k, const struct wy_rows_result *r)
{
  struct wy_table_traffic *t
      = wy_traffic_counters (&k->store->stats.traffic, k->table);

  t->calls++;
  t->rows_read += r->n;
  t->read_bytes += k->response_body->len;
  t->written_bytes += k->body_size_bytes;
}

static void
deliver (struct wy_rows_call *k, const struct wy_rows_result *r)
{
  wy_rows_cb *cb = k->cb;
  void *ctx = k->ctx;

  count_traffic (k, r);
  if (r->store_now_ms)
    update_clock_offset (k->store, r->store_now_ms);
  if (k->forward_cb)
    k->forward_cb (ctx, k->status, k->response_body->str,
                   k->response_body->len);
  else
    cb (ctx, r);
  wy_rows_call_free (k);
}

static void send_call (struct wy_rows_call *k);

static bool
is_read_only (enum wy_store_verb verb)
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

/* Send K, which has failed with ERR, again on another path.  A call that
   writes is repeated only if it was certainly not done.  A call forwarded for
   a peer is not repeated, since the peer has other paths itself.  No call is
   repeated while the store is unreachable on all paths, so as not to add load.
   Returns whether K was sent.  */
static bool
retry_call (struct wy_rows_call *k, int err)
{
  struct wy_rows *s = k->store;
  int64_t now_ms = wy_clock_mono_ms (s->clock);

  if (k->forward_cb || k->attempts >= ATTEMPTS_MAX || now_ms >= k->deadline_ms
      || (err != WY_ROWS_EREFUSED && !is_read_only (k->verb))
      || wy_rows_is_unreachable (s)
      || !wy_paths_has_alternative (&s->paths, now_ms))
    return false;
  k->status = 0;
  discard_response (k);
  send_call (k);
  return true;
}

static bool
is_rate_limited (const struct wy_rows_call *k)
{
  return k->status == STATUS_TOO_MANY_REQUESTS;
}

/* Whether K received 429 because the store rejects this process.  The rate
   limit is shared, so when many processes start at once some calls of each are
   over it; the path works, and a relayed retry would only add load.  But a
   store may also reject one process in this manner, and then no call of that
   process succeeds.  */
static bool
is_rejected_by_rate (const struct wy_rows_call *k)
{
  const struct wy_rows *s = k->store;

  return !k->relayed
         && wy_clock_mono_ms (s->clock) - s->paths.direct_answered_ms
                > RATE_LIMIT_GRACE_MS;
}

static void
fail (struct wy_rows_call *k, int err, const char *why)
{
  struct wy_rows_result r = { .err = err };
  bool rate_limited = is_rate_limited (k) && !is_rejected_by_rate (k);

  if (!rate_limited)
    record_result (k, false, why);
  wy_json_log ("store.call_failed", "verb=%s via=%s outcome=%s reason=%s",
               wy_store_verb_name (k->verb), k->relayed ? "peer" : "direct",
               err == WY_ROWS_EREFUSED ? "not_done" : "unknown", why);
  if (!rate_limited && retry_call (k, err))
    return;
  k->store->stats
      .calls_by_outcome[k->verb][err == WY_ROWS_EREFUSED ? WY_ROWS_NOT_DONE
                                                         : WY_ROWS_UNKNOWN]++;
  /* The peer receives the status that the store itself would use.  */
  if (!rate_limited)
    k->status = err == WY_ROWS_EREFUSED ? 503 : 504;
  discard_response (k);
  deliver (k, &r);
}

/* Fail the calls for which IS_LOST holds.  No callback ends another call, so
   those found stay valid until their turn.  */
static void
fail_lost_calls (struct wy_rows *s,
                 bool (*is_lost) (const struct wy_rows_call *k,
                                  int64_t ref_ms),
                 int64_t ref_ms, const char *why)
{
  GPtrArray *lost = g_ptr_array_new ();

  for (GList *l = s->calls.head; l; l = l->next)
    if (is_lost (l->data, ref_ms))
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

/* Whether K was sent so long before a call that has received its response,
   sent at SENT_MS, that K must be lost.  Calls sent while the store was
   unreachable get no response when it is back; without this, whatever depends
   on them would wait for their timeouts.  On a slow store objects take longer
   than rows by more than OVERTAKEN_MS, so for them the call must be the one
   that restored the direct path.  */
static bool
is_overtaken (const struct wy_rows_call *k, int64_t sent_ms)
{
  switch (k->verb)
    {
    case WY_STORE_FEED:
      return false;
    case WY_STORE_PUT_OBJECT:
    case WY_STORE_GET_OBJECT:
    case WY_STORE_DELETE_OBJECT:
      sent_ms = k->store->paths.direct_restored_ms;
      break;
    case WY_STORE_GET:
    case WY_STORE_PARTITIONS:
    case WY_STORE_TX:
      break;
    }
  return sent_ms - k->started_ms > OVERTAKEN_MS + k->transfer_ms;
}

static void
on_head (void *ctx, const struct wy_h1_response *r)
{
  ((struct wy_rows_call *)ctx)->status = r->status;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  struct wy_rows_call *k = ctx;

  g_string_append_len (k->response_body, p, (gssize)n);
  wy_memory_account_add (k->store->memory, WY_MEMORY_STORE, (int64_t)n);
  /* The size of the object is not known beforehand: each piece extends the
     deadline, up to that of the largest.  */
  if (k->verb == WY_STORE_GET_OBJECT)
    k->deadline_ms
        = MIN (wy_clock_mono_ms (k->store->clock),
               k->started_ms
                   + (int64_t)(k->store->object_bytes / OBJECT_BYTES_PER_MS))
          + OBJECT_TIMEOUT_MS;
}

static const char *
failure_reason (int err, bool sent)
{
  if (err == WY_H1_EMALFORMED)
    return "malformed";
  return sent ? "broken_off" : "no_connection";
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
      /* The status of a malformed response promises nothing.  */
      if (err == WY_H1_EMALFORMED)
        k->status = 0;
      fail (k, sent ? WY_ROWS_EUNKNOWN : WY_ROWS_EREFUSED,
            failure_reason (err, sent));
      return;
    }
  k->http = NULL;
  decoded = wy_store_decode_response (
      k->verb, k->status, k->response_body->str, k->response_body->len, &r);
  if (r.err == WY_ROWS_EREFUSED || r.err == WY_ROWS_EUNKNOWN)
    fail (k, r.err, is_rate_limited (k) ? "rate" : "turned_away");
  else
    {
      struct wy_rows *s = k->store;
      int64_t sent_ms = k->started_ms;

      s->stats.calls_by_outcome[k->verb][WY_ROWS_DONE]++;
      s->last_response_ms = wy_clock_mono_ms (s->clock);
      record_result (k, true, "answered");
      deliver (k, &r);
      fail_lost_calls (s, is_overtaken, sent_ms, "overtaken");
    }
  wy_store_response_free (decoded);
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_rows *s = t->data;

  fail_lost_calls (s, is_overdue, wy_clock_mono_ms (s->clock), "timeout");
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

static size_t
response_limit_bytes (const struct wy_rows_call *k)
{
  switch (k->verb)
    {
    case WY_STORE_GET:
    case WY_STORE_PARTITIONS:
    case WY_STORE_TX:
      return PAGE_LIMIT_BYTES;
    case WY_STORE_FEED:
      return CHANGES_LIMIT_BYTES;
    case WY_STORE_PUT_OBJECT:
    case WY_STORE_GET_OBJECT:
    case WY_STORE_DELETE_OBJECT:
      break;
    }
  return k->store->object_bytes + OBJECT_MARGIN_BYTES;
}

/* Create a call that is not sent yet.  Takes ownership of TARGET.  */
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
  k->response_body = g_string_new (NULL);
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
  struct wy_h1_call_options o
      = { .method = k->method,
          .target = k->target,
          .fields = fields,
          .body = k->body,
          .body_size_bytes = k->body_size_bytes,
          .has_body = k->body != NULL,
          .response_limit_bytes = response_limit_bytes (k),
          .on_head = on_head,
          .on_data = on_data,
          .on_end = on_end,
          .ctx = k };

  k->attempts++;
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

/* Send K with BODY of N bytes, which is copied; NULL: no body.  */
void
wy_rows_call_start (struct wy_rows_call *k, const void *body, size_t n)
{
  if (body)
    {
      k->body = g_malloc (n + 1);
      memcpy (k->body, body, n);
      k->body_size_bytes = n;
      wy_memory_account_add (k->store->memory, WY_MEMORY_STORE, (int64_t)n);
    }
  if (k->verb == WY_STORE_PUT_OBJECT)
    k->transfer_ms = (int64_t)(n / OBJECT_BYTES_PER_MS);
  k->deadline_ms += k->transfer_ms;
  send_call (k);
}
