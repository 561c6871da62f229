/* Store client with a table service that fails in various ways.  */
#include <criterion/criterion.h>
#include <string.h>

#include "store/circuit_breaker.h"
#include "store/rate_limiter.h"
#include "store/client.h"
#include "support/fake_table.h"

struct fixture
{
  uv_loop_t loop;
  struct fake_table *table;
  struct wy_store *store;
  struct wy_trace *trace;
  uint32_t n_done; /* callbacks */
  uint32_t ok;
  int err;
  char *conflict; /* operation id in the first failed row */
};

static void
fixture_init (struct fixture *w, uint32_t timeout_ms)
{
  struct wy_store_options o = { .clock = wy_clock_system (), .seed = 7 };
  const struct wy_trace_options t
      = { .process = "test", .incarnation = "1", .clock = wy_clock_system () };

  memset (w, 0, sizeof *w);
  uv_loop_init (&w->loop);
  w->table = fake_table_new (&w->loop);
  cr_assert_eq (wy_trace_new (&w->trace, &t), 0);
  o.loop = &w->loop;
  o.trace = w->trace;
  o.table = w->table->address;
  o.objects = w->table->address;
  o.call_timeout_ms = timeout_ms;
  cr_assert_eq (wy_store_new (&w->store, &o), 0);
}

static void
fixture_free (struct fixture *w)
{
  wy_store_free (w->store);
  drain_loop (&w->loop);
  fake_table_free (w->table);
  wy_trace_free (w->trace);
  g_free (w->conflict);
}

static void
on_done (void *ctx, const struct wy_store_result *r)
{
  struct fixture *w = ctx;

  w->n_done++;
  w->ok += r->err == 0;
  w->err = r->err;
  if (r->err == WY_STORE_ECONFLICT && r->n_rows && r->rows[0].value)
    {
      g_free (w->conflict);
      w->conflict = g_strdup (
          json_string_value (json_object_get (r->rows[0].value, "op")));
    }
}

static void
start_write (struct fixture *w, const char *key, int64_t rev, const char *op)
{
  json_t *value = json_pack ("{s:s}", "op", op);
  struct wy_store_condition c = { key, rev };
  struct wy_store_write wr = { key, value };
  struct wy_store_txn t = { .cause = "test",
                            .op = op,
                            .conditions = &c,
                            .n_conditions = 1,
                            .writes = &wr,
                            .n_writes = 1 };

  wy_store_txn (w->store, &t, on_done, w);
  json_decref (value);
}

static void
start_read (struct fixture *w)
{
  const char *keys[] = { "a" };
  struct wy_store_read r = { .cause = "test", .keys = keys, .n_keys = 1 };

  wy_store_read (w->store, &r, on_done, w);
}

static bool
is_done (void *ctx)
{
  return ((struct fixture *)ctx)->n_done > 0;
}

static bool
is_down (void *ctx)
{
  return wy_store_is_down (((struct fixture *)ctx)->store);
}

static bool
is_back (void *ctx)
{
  return !wy_store_is_down (((struct fixture *)ctx)->store);
}

static bool
timeline_has (struct fixture *w, const char *event)
{
  GString *s = g_string_new (NULL);
  char *needle = g_strdup_printf ("\"ev\":\"%s\"", event);
  bool found;

  wy_trace_read (w->trace, 0, s);
  found = strstr (s->str, needle) != NULL;
  g_free (needle);
  g_string_free (s, TRUE);
  return found;
}

Test (store, conflict_returns_the_existing_row)
{
  struct fixture w;

  fixture_init (&w, 0);
  start_write (&w, "a", 0, "first");
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  w.n_done = 0;
  start_write (&w, "a", 0, "second");
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, WY_STORE_ECONFLICT);
  cr_assert_str_eq (w.conflict, "first");
  cr_assert_str_eq (fake_table_text (w.table, "a", "op"), "first");
  fixture_free (&w);
}

/* The table carries out a write, and the connection breaks before the
   response. Without the operation id, the caller would get a conflict with its
   own write, or the write would be carried out twice.  */
Test (store, lost_response_is_resolved_by_the_operation_id)
{
  struct fixture w;

  fixture_init (&w, 0);
  w.table->lose_responses = 1;
  start_write (&w, "a", 0, "mine");
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  cr_assert_eq (w.table->txns, 2);
  cr_assert_eq (w.table->rev, 1);
  fixture_free (&w);
}

/* The connection breaks before the table has read the write.  Reporting
   success without sending it again would lose it.  */
Test (store, write_that_never_arrived_is_sent_again)
{
  struct fixture w;

  fixture_init (&w, 0);
  w.table->drop_requests = 1;
  start_write (&w, "a", 0, "mine");
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  cr_assert_eq (w.table->rev, 1);
  fixture_free (&w);
}

/* All responses are lost until the total timeout.  The write may have been
   carried out, so the error must not be "not carried out".  */
Test (store, write_without_any_response_is_unknown)
{
  struct fixture w;

  fixture_init (&w, 0);
  w.table->drop_requests = 1000;
  start_write (&w, "a", 0, "mine");
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, WY_STORE_EUNKNOWN);
  fixture_free (&w);
}

/* The response of the table takes longer than the timeout, but the write is
   carried out.  */
Test (store, write_that_timed_out_is_resolved)
{
  struct fixture w;

  fixture_init (&w, 100);
  w.table->delay_ms = 300;
  start_write (&w, "a", 0, "mine");
  run_for (&w.loop, 120);
  w.table->delay_ms = 0;
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  cr_assert_eq (w.table->rev, 1);
  run_for (&w.loop, 300);
  fixture_free (&w);
}

/* The table is down.  Calls must fail at once rather than time out, and must
   not all be sent at once when the table is back.  */
Test (store, calls_fail_at_once_during_an_outage)
{
  struct fixture w;
  uint32_t rejected;

  fixture_init (&w, 0);
  w.table->down = true;
  for (int i = 0; i < 5; i++)
    start_read (&w);
  cr_assert (run_until (&w.loop, is_down, &w));
  cr_assert (timeline_has (&w, "store.outage"));
  run_for (&w.loop, 50);
  rejected = w.table->refused;
  w.n_done = 0;
  w.ok = 0;
  for (int i = 0; i < 100; i++)
    start_read (&w);
  run_for (&w.loop, 20);
  cr_assert_eq (w.n_done, 100);
  cr_assert_eq (w.ok, 0);
  cr_assert_eq (w.err, WY_STORE_EUNAVAILABLE);
  cr_assert_leq (w.table->refused, rejected + 1, "more than a probe was sent");
  w.table->down = false;
  w.table->reads = 0;
  cr_assert (run_until (&w.loop, is_back, &w));
  cr_assert (timeline_has (&w, "store.back"));
  cr_assert_eq (w.table->reads, 1,
                "only the probe is sent before the store is back");
  w.n_done = 0;
  start_read (&w);
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  fixture_free (&w);
}

/* The service responds that its rate limit is exceeded.  Calls at the same
   rate would be rejected again.  */
Test (store, rate_limit_delays_all_calls)
{
  struct fixture w;

  fixture_init (&w, 0);
  w.table->calls_until_429 = 1;
  start_read (&w);
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  cr_assert_eq (w.table->reads, 1);
  cr_assert_not (timeline_has (&w, "store.outage"));
  fixture_free (&w);
}

Test (store, objects_are_stored_and_read)
{
  struct fixture w;

  fixture_init (&w, 0);
  wy_store_put_object (w.store, "test", "x/y", "bytes", 5, on_done, &w);
  cr_assert (run_until (&w.loop, is_done, &w));
  w.n_done = 0;
  wy_store_get_object (w.store, "test", "x/y", on_done, &w);
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, 0);
  w.n_done = 0;
  wy_store_get_object (w.store, "test", "x/z", on_done, &w);
  cr_assert (run_until (&w.loop, is_done, &w));
  cr_assert_eq (w.err, WY_STORE_ENOTFOUND);
  fixture_free (&w);
}

Test (store, invalid_address_is_rejected)
{
  struct wy_store *s;
  struct wy_store_options o = { .clock = wy_clock_system (),
                                .table = "nowhere",
                                .objects = "127.0.0.1:1" };

  cr_assert_eq (wy_store_new (&s, &o), WY_STORE_EADDRESS);
}

Test (store, rate_limiter_allows_the_burst_and_then_the_rate)
{
  struct wy_rate_limiter r;
  uint32_t n_sent = 0;

  wy_rate_limiter_init (&r, 10, 5, 0);
  for (int64_t ms = 0; ms < 1000; ms++)
    n_sent += wy_rate_limiter_take (&r, ms) == 0;
  cr_assert_geq (n_sent, 14);
  cr_assert_leq (n_sent, 15);
}

Test (store, one_probe_at_a_time_at_growing_intervals)
{
  struct wy_circuit_breaker o = { 0 };
  struct wy_rng rng;
  uint32_t probes = 0;

  wy_rng_seed (&rng, 3);
  for (int i = 0; i < 5; i++)
    wy_circuit_breaker_record_failure (&o, &rng, false, 0);
  cr_assert (o.is_open);
  for (int64_t ms = 0; ms < 20000; ms++)
    if (wy_circuit_breaker_probe (&o, ms))
      {
        probes++;
        cr_assert_not (wy_circuit_breaker_probe (&o, ms));
        cr_assert_not (wy_circuit_breaker_record_failure (&o, &rng, true, ms));
      }
  cr_assert_geq (probes, 5);
  cr_assert_leq (probes, 25);
  cr_assert (wy_circuit_breaker_record_response (&o));
  cr_assert_not (wy_circuit_breaker_record_response (&o));
}
