/* Orders the replica on the same machine to load new versions.

   Each order carries the number of orders that the replica has accepted so
   far, so that an order delayed past a newer one has no effect.  It also
   carries the orderer's generation, a counter in a row of the store that is
   incremented at each start.  */
#include "orders/orderer_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/crash_tracker.h"
#include "h1/malformed_log.h"
#include "platform/config_wire.h"
#include "platform/replica_wire.h"
#include "platform/request_wire.h"
#include "trace/json_log.h"

#define GENERATION_TABLE "wy-orderers"

/* In the partition named by the replica's address.  */
static const char generation_key[] = "generation";
/* Loads that the replica's restarts have interrupted: their number, and the
   store's time of the last.  */
static const char interrupted_key[] = "interrupted";

enum
{
  TICK_MS = 100,
  WATCH_INTERVAL_MS = 150,
  CONNECT_TIMEOUT_MS = 500,
  TARGET_IDLE_MS = 5000,
  /* The replica is on this machine: no response by then means a failure.  */
  CALL_TIMEOUT_MS = 1500,
  /* A load that was accepted but has no effect by then is ordered again.  */
  ORDER_RETRY_MS = 1500,
  CALL_RETRY_MS = 400,
  RESPONSE_LIMIT_BYTES = 1 << 20,
  /* Interval of reports while no load is due, to detect a restart of the
     replica.  */
  REPORT_IDLE_MS = 1000,
  REPORT_ACTIVE_MS = 150,
  /* Maximum age of the report on which an order is based.  */
  REPORT_FRESH_MS = 300,
  INITIAL_LOAD_MS = 950,
  LOAD_MS_MAX = 5000,
  /* The number of interrupted loads is taken over from the previous process of
     the orderer within this time; another replica may have the address
     later.  */
  INTERRUPTED_VALID_MS = 120000,
  VALUE_SIZE_BYTES = 64
};

/* Weight of a new value in the moving average of load durations.  */
static const double load_weight = 0.3;

static void on_generation_written (void *ctx, const struct wy_rows_result *r);

static void
on_interrupted_written (void *ctx, const struct wy_rows_result *r)
{
  if (r->err)
    wy_json_log ("loads.not_stored", "err=%d", r->err);
}

/* Store the number of interrupted loads, so that it outlives this process.  */
static void
store_interrupted (struct wy_orderer_daemon *d)
{
  char value[VALUE_SIZE_BYTES];
  struct wy_row_write w
      = { .table = GENERATION_TABLE, .key = interrupted_key, .value = value };
  struct wy_rows_tx tx
      = { .partition = d->o.settings->target, .writes = &w, .n_writes = 1 };

  snprintf (value, sizeof value, "%u %lld", d->loads_interrupted,
            (long long)wy_rows_store_now_ms (d->rows));
  w.size_bytes = strlen (value);
  wy_rows_tx (d->rows, &tx, on_interrupted_written, d);
}

static const struct wy_row *
find_row (const struct wy_rows_result *r, const char *key)
{
  for (size_t i = 0; i < r->n; i++)
    if (!strcmp (r->rows[i].key, key))
      return &r->rows[i];
  return NULL;
}

/* Continue with the number of interrupted loads in R, which the previous
   process has stored.  */
static void
take_over_interrupted (struct wy_orderer_daemon *d,
                       const struct wy_rows_result *r)
{
  const struct wy_row *row = find_row (r, interrupted_key);
  char *text = row ? g_strndup (row->value, row->size_bytes) : NULL;
  unsigned n = 0;
  long long at_ms = 0;

  if (text && sscanf (text, "%u %lld", &n, &at_ms) == 2
      && r->store_now_ms - at_ms < INTERRUPTED_VALID_MS
      && n > d->loads_interrupted)
    {
      d->loads_interrupted = n;
      d->order_due_ms
          = wy_orderer_now_ms (d) + wy_crash_tracker_backoff_ms (n);
      wy_json_log ("loads.taken_over", "interrupted=%u age_ms=%lld", n,
                   (long long)r->store_now_ms - at_ms);
    }
  g_free (text);
}

static void
on_generation_read (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;
  const struct wy_row *row;
  char value[VALUE_SIZE_BYTES];
  struct wy_row_ref condition
      = { .table = GENERATION_TABLE, .key = generation_key };
  struct wy_row_write w
      = { .table = GENERATION_TABLE, .key = generation_key, .value = value };
  struct wy_rows_tx tx = { .partition = d->o.settings->target,
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &w,
                           .n_writes = 1 };
  char *old;

  if (r->err)
    {
      d->generation_pending = false;
      return;
    }
  take_over_interrupted (d, r);
  row = find_row (r, generation_key);
  old = row ? g_strndup (row->value, row->size_bytes) : g_strdup ("0");
  condition.version = row ? row->version : 0;
  snprintf (value, sizeof value, "%lld", strtoll (old, NULL, 10) + 1);
  w.size_bytes = strlen (value);
  /* Negative until the write is confirmed.  */
  d->generation = -strtoll (value, NULL, 10);
  g_free (old);
  wy_rows_tx (d->rows, &tx, on_generation_written, d);
}

static void
on_generation_written (void *ctx, const struct wy_rows_result *r)
{
  struct wy_orderer_daemon *d = ctx;

  d->generation_pending = false;
  d->generation = r->err ? 0 : -d->generation;
  if (!r->err)
    wy_json_log ("generation.drawn", "generation=%lld",
                 (long long)d->generation);
}

static void
increment_generation (struct wy_orderer_daemon *d)
{
  struct wy_rows_range range
      = { .table = GENERATION_TABLE, .partition = d->o.settings->target };

  d->generation_pending = true;
  wy_rows_get (d->rows, &range, on_generation_read, d);
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  ((struct wy_orderer_daemon *)ctx)->call_status = a->status;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  g_string_append_len (((struct wy_orderer_daemon *)ctx)->response, p,
                       (gssize)n);
}

/* Whether the replica restarted between the reports BEFORE and NOW.  The
   number of accepted orders alone does not tell: it may be 0 in both.  */
static bool
is_restart (const struct wy_replica_report *before,
            const struct wy_replica_report *now)
{
  return now->started_ms != before->started_ms
         || now->orders_accepted < before->orders_accepted;
}

static void
process_report (struct wy_orderer_daemon *d)
{
  struct wy_replica_report r;
  int64_t now_ms = wy_orderer_now_ms (d);
  int64_t version;

  if (d->call_status != 200
      || !wy_replica_report_decode (d->response->str, d->response->len, &r))
    {
      wy_json_log ("report.unreadable", "status=%d bytes=%zu", d->call_status,
                   d->response->len);
      return;
    }
  if (d->reported_ms && is_restart (&d->report, &r))
    {
      wy_json_log (
          "target.restarted",
          "id=%s orders=%lld before=%lld started_ms=%lld interrupted=%u",
          d->id, (long long)r.orders_accepted,
          (long long)d->report.orders_accepted, (long long)r.started_ms,
          d->loads_interrupted + (d->ordered != NULL));
      /* The process that accepted the order is gone.  The load may have
         crashed it.  */
      if (d->ordered)
        {
          d->order_due_ms
              = now_ms + wy_crash_tracker_backoff_ms (++d->loads_interrupted);
          store_interrupted (d);
        }
      d->ordered = NULL;
      /* The new process may have another id.  */
      d->rank_read_ms = 0;
    }
  d->report = r;
  d->reported_ms = now_ms;
  if (!d->ordered)
    return;
  version = wy_orderer_loaded_version (d, d->ordered->v.model);
  if (version >= d->ordered_version && !r.order_in_progress)
    {
      double took_ms = (double)(now_ms - d->ordered_ms);

      wy_hist_add (d->metrics.load_us, (uint64_t)took_ms * WY_US_PER_MS);
      if (took_ms < LOAD_MS_MAX)
        d->load_ms += load_weight * (took_ms - d->load_ms);
      wy_json_log ("version.loaded", "model=%s version=%lld ms=%.0f",
                   d->ordered->v.model, (long long)version, took_ms);
      d->ordered = NULL;
      if (d->loads_interrupted)
        {
          d->loads_interrupted = 0;
          store_interrupted (d);
        }
    }
  else if (!r.order_in_progress && now_ms - d->ordered_ms >= ORDER_RETRY_MS)
    {
      wy_json_log ("order.lost", "model=%s version=%lld ms=%lld",
                   d->ordered->v.model, (long long)d->ordered_version,
                   (long long)(now_ms - d->ordered_ms));
      wy_order_metrics_outcome (&d->metrics, "lost");
      d->ordered = NULL;
    }
}

static void
process_order_response (struct wy_orderer_daemon *d)
{
  enum wy_order_outcome outcome
      = wy_order_outcome_from_status (d->call_status);

  wy_json_log ("order.answered", "model=%s version=%lld status=%d outcome=%s",
               d->ordered ? d->ordered->v.model : "",
               (long long)d->ordered_version, d->call_status,
               wy_order_outcome_name (outcome));
  wy_order_metrics_outcome (&d->metrics, wy_order_outcome_name (outcome));
  d->report_due_ms = 0;
  switch (outcome)
    {
    case WY_ORDER_ACCEPTED:
    case WY_ORDER_ALREADY_LOADED:
    case WY_ORDER_UNKNOWN:
      break;
    case WY_ORDER_MISDIRECTED:
      d->id[0] = '\0';
      d->ordered = NULL;
      d->order_due_ms = wy_orderer_now_ms (d) + CALL_RETRY_MS;
      break;
    case WY_ORDER_BUSY:
    case WY_ORDER_FENCED:
    case WY_ORDER_INVALID:
      d->ordered = NULL;
      d->order_due_ms = wy_orderer_now_ms (d) + CALL_RETRY_MS;
      break;
    }
}

static void
on_end (void *ctx, int err)
{
  struct wy_orderer_daemon *d = ctx;
  bool order = d->call_is_order;

  d->call = NULL;
  if (err)
    {
      wy_json_log ("target.call_failed", "order=%d err=%d", order, err);
      if (order)
        wy_order_metrics_outcome (&d->metrics, "unanswered");
      if (order && err == WY_H1_ECONNECT)
        d->ordered = NULL;
      d->order_due_ms = wy_orderer_now_ms (d) + CALL_RETRY_MS;
      d->report_due_ms = wy_orderer_now_ms (d) + CALL_RETRY_MS;
    }
  else if (order)
    process_order_response (d);
  else
    process_report (d);
}

static void
call_target (struct wy_orderer_daemon *d, const char *method,
             const char *target, const char *body)
{
  struct wy_forward_info f = { .time_left_ms = -1, .after_event = -1 };
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  struct wy_h1_header type = { "Content-Type", "application/json" };
  struct wy_h1_call_options o = { .address = d->target,
                                  .method = method,
                                  .target = target,
                                  .body = body,
                                  .body_size_bytes = body ? strlen (body) : 0,
                                  .response_limit_bytes = RESPONSE_LIMIT_BYTES,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = d };

  f.host = d->o.settings->target;
  if (body)
    {
      f.replica = d->id;
      g_array_append_val (fields, type);
    }
  wy_request_item_fields (NULL, 0, &f, fields);
  o.fields = (const struct wy_h1_header *)fields->data;
  o.n_fields = fields->len;
  d->call_is_order = body != NULL;
  d->call_status = 0;
  d->call_deadline_ms = wy_orderer_now_ms (d) + CALL_TIMEOUT_MS;
  g_string_truncate (d->response, 0);
  d->call = wy_h1_call_start (d->http, &o);
  g_array_free (fields, TRUE);
}

static void
order_load (struct wy_orderer_daemon *d, struct wy_orderer_version *n)
{
  struct wy_load_order o
      = { .model = n->v.model,
          .version = n->v.version,
          .mode = wy_orderer_wants_single_version (d) ? WY_LOAD_WAIT_FOR_RUNS
                                                      : WY_LOAD_DURING_RUNS,
          .holder = d->o.settings->name,
          .generation = d->generation,
          .orders_accepted = d->report.orders_accepted };
  char *body = wy_load_order_body (&o);

  d->ordered = n;
  d->ordered_version = n->v.version;
  d->ordered_ms = wy_orderer_now_ms (d);
  wy_json_log (
      "order.sent",
      "model=%s version=%lld held=%lld orders=%lld report_age_ms=%lld "
      "after_named_ms=%lld",
      n->v.model, (long long)n->v.version,
      (long long)wy_orderer_loaded_version (d, n->v.model),
      (long long)d->report.orders_accepted,
      (long long)(wy_orderer_now_ms (d) - d->reported_ms),
      (long long)(wy_orderer_now_ms (d) - n->seen_ms));
  call_target (d, "POST", WY_ORDER_TARGET, body);
  g_free (body);
}

/* The version that is due to be loaded at NOW_MS; NULL: none.  */
static struct wy_orderer_version *
next_load (struct wy_orderer_daemon *d, int64_t now_ms)
{
  for (uint32_t i = 0; i < d->n_versions; i++)
    {
      struct wy_orderer_version *n = &d->versions[i];
      int64_t loaded = wy_orderer_loaded_version (d, n->v.model);

      if (n->due_ms && n->selected && now_ms >= n->due_ms && loaded >= 0
          && loaded < n->v.version)
        return n;
    }
  return NULL;
}

static bool
needs_list (const struct wy_orderer_daemon *d)
{
  if (!*d->id)
    return true;
  for (uint32_t i = 0; i < d->n_versions; i++)
    if (!d->versions[i].due_ms)
      return true;
  return false;
}

static void
start_call (struct wy_orderer_daemon *d, int64_t now_ms)
{
  struct wy_orderer_version *n = next_load (d, now_ms);
  bool fresh = d->reported_ms && now_ms - d->reported_ms <= REPORT_FRESH_MS;

  if (n && !d->ordered && d->generation > 0 && *d->id
      && now_ms >= d->order_due_ms && fresh && !d->report.order_in_progress)
    {
      order_load (d, n);
      return;
    }
  /* A replica that is not listed yet rejects calls, and each call would log a
     failure at every start.  */
  if (!*d->id || now_ms < d->report_due_ms)
    return;
  d->report_due_ms
      = now_ms + (n || d->ordered ? REPORT_ACTIVE_MS : REPORT_IDLE_MS);
  call_target (d, "GET", WY_REPORT_TARGET, NULL);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_orderer_daemon *d = t->data;
  int64_t now_ms = wy_orderer_now_ms (d);

  if (d->generation == 0 && !d->generation_pending)
    increment_generation (d);
  if (!d->list_pending && now_ms >= d->list_due_ms && needs_list (d))
    wy_orderer_read_list (d);
  wy_orderer_read_relays (d, now_ms);
  if (d->call && now_ms >= d->call_deadline_ms)
    {
      wy_h1_call_cancel (d->call);
      d->call = NULL;
      wy_json_log ("target.call_failed", "order=%d err=timeout",
                   d->call_is_order);
    }
  if (!d->call)
    start_call (d, now_ms);
}

/* Log that the orderer can't start since ADDRESS, which SETTING names, can't
   be used because of libuv's error ERR.  */
void
wy_orderer_address_failed (const struct wy_orderer_daemon *d,
                           const char *setting, const char *address, int err)
{
  wy_json_log ("process.not_started", "setting=%s address=%s error=%s",
               setting, address, uv_err_name (err));
  if (d->o.reason)
    g_string_printf (d->o.reason, "%s %s: %s", setting, address,
                     uv_strerror (err));
}

static bool
parse_address (const struct wy_orderer_daemon *d, const char *setting,
               const char *text, struct sockaddr_in *out)
{
  if (wy_address_parse (text, out))
    return true;
  wy_orderer_address_failed (d, setting, text, UV_EINVAL);
  return false;
}

static void
on_malformed (void *ctx, const struct wy_h1_malformed *m)
{
  const struct wy_orderer_daemon *d = ctx;

  wy_h1_log_malformed (m);
  wy_h1_count_malformed (d->metrics.malformed, m);
}

/* Start an orderer with options O and store it in OUT.  Returns 0 or
   WY_H1_EBIND for an address that can't be parsed or bound.  */
int
wy_orderer_daemon_new (struct wy_orderer_daemon **out,
                       const struct wy_orderer_daemon_options *o)
{
  struct wy_orderer_daemon *d = g_new0 (struct wy_orderer_daemon, 1);
  struct wy_h1_client_options http
      = { .loop = o->loop,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .idle_timeout_ms = TARGET_IDLE_MS,
          .on_malformed = on_malformed,
          .ctx = d };
  struct wy_rows_options rows = { .loop = o->loop, .clock = o->clock };
  struct wy_watch_options w = { .loop = o->loop,
                                .clock = o->clock,
                                .table = WY_OPERATOR_TABLE,
                                .min_interval_ms = WATCH_INTERVAL_MS,
                                .on_row = wy_orderer_on_operator_row,
                                .ctx = d };

  d->o = *o;
  d->load_ms = INITIAL_LOAD_MS;
  wy_id_new (o->clock, d->incarnation);
  wy_json_log_open (o->loop, o->settings->name, d->incarnation);
  if (!parse_address (d, "target_address", o->settings->target, &d->target)
      || !parse_address (d, "store_address", o->settings->store,
                         &rows.address))
    {
      g_free (d);
      return WY_H1_EBIND;
    }
  wy_json_log ("process.start", "target=%s service=%s store=%s",
               o->settings->target, o->settings->service, o->settings->store);
  d->response = g_string_new (NULL);
  d->http = wy_h1_client_new (&http);
  rows.http = d->http;
  rows.seed = wy_hash64 (d->incarnation, WY_ID_LEN, 0);
  d->rows = wy_rows_new (&rows);
  wy_orderer_init_relays (d);
  w.rows = d->rows;
  w.seed = rows.seed + 1;
  d->operator_rows = wy_watch_new (&w);
  uv_timer_init (o->loop, &d->tick);
  d->tick.data = d;
  uv_timer_start (&d->tick, on_tick, TICK_MS, TICK_MS);
  *out = d;
  return wy_order_metrics_start (d);
}

/* Stop.  The loop must run afterwards until its handles are closed.  */
void
wy_orderer_daemon_free (struct wy_orderer_daemon *d)
{
  wy_json_log ("process.stop", "reason=asked ordered=%d", d->ordered != NULL);
  wy_order_metrics_stop (d);
  wy_watch_free (d->operator_rows);
  wy_rows_free (d->rows);
  wy_h1_client_close (d->http);
  uv_close ((uv_handle_t *)&d->tick, NULL);
}
