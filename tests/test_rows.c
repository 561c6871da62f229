/* Client of the store: outcomes of calls without a response, relayed
   calls.  */
#include <criterion/criterion.h>
#include <string.h>

#include "rows/rows.h"
#include "support/platform_fixture.h"

struct result
{
  bool done;
  int err;
  size_t n;
  int64_t version;
};

static struct platform_fixture w;

static void
on_result (void *ctx, const struct wy_rows_result *r)
{
  struct result *out = ctx;

  out->done = true;
  out->err = r->err;
  out->n = r->n;
  out->version = r->version;
}

static bool
is_done (void *ctx)
{
  return ((struct result *)ctx)->done;
}

static struct result
write_row (const char *key, const char *value, int64_t expected)
{
  struct wy_row_ref condition = { "t", key, expected };
  struct wy_row_write write = { "t", key, value, strlen (value) };
  struct wy_rows_tx tx = { .partition = "",
                           .conditions = &condition,
                           .n_conditions = 1,
                           .writes = &write,
                           .n_writes = 1 };
  struct result r = { 0 };

  wy_rows_tx (w.env.rows, &tx, on_result, &r);
  cr_assert (platform_fixture_run_until (&w, is_done, &r));
  return r;
}

static void
start_world (void)
{
  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "n1");
}

Test (rows, condition_must_hold)
{
  struct result r;

  start_world ();
  r = write_row ("k", "1", 0);
  cr_expect_eq (r.err, 0);
  cr_expect_gt (r.version, 0);
  cr_expect_eq (write_row ("k", "2", 0).err, WY_ROWS_ECONFLICT);
  cr_expect_eq (write_row ("k", "2", r.version).err, 0);
  platform_fixture_free (&w);
}

/* Jobs are dated by the store's clock, since the clocks of the entries differ.
   It must be known after the first response, also when its offset is 0.  */
Test (rows, store_clock_known_after_first_response)
{
  int64_t now_ms;

  start_world ();
  cr_expect_eq (wy_rows_store_now_ms (w.env.rows), 0);
  write_row ("k", "1", 0);
  now_ms = wy_rows_store_now_ms (w.env.rows);
  cr_expect_gt (now_ms, 0);
  cr_expect_leq (ABS (now_ms - (int64_t)uv_now (&w.loop)), 1000);
  platform_fixture_free (&w);
}

/* The store rejects a call, is over its rate limit, loses its response or
   never responds.  If "unknown" were reported as "not done", a submitter would
   learn that its job does not run, although it may.  */
Test (rows, outcome_done_not_done_or_unknown)
{
  struct wy_platform_store_faults *f;

  start_world ();
  f = wy_platform_store_faults (w.store);
  f->respond_503 = 1;
  cr_expect_eq (write_row ("a", "1", 0).err, WY_ROWS_EREFUSED);
  f->respond_429 = 1;
  cr_expect_eq (write_row ("a", "1", 0).err, WY_ROWS_EREFUSED);
  f->lose_response = 1;
  cr_expect_eq (write_row ("a", "1", 0).err, WY_ROWS_EUNKNOWN);
  /* The write was performed: repeating it conflicts.  */
  cr_expect_eq (write_row ("a", "1", 0).err, WY_ROWS_ECONFLICT);
  f->silent = true;
  cr_expect_eq (write_row ("b", "1", 0).err, WY_ROWS_EUNKNOWN);
  f->silent = false;
  cr_expect_eq (write_row ("b", "1", 0).err, 0);
  platform_fixture_free (&w);
}

static void
start_with_clock (struct wy_clock_manual *clock)
{
  struct wy_rows_options o = { .loop = &w.loop, .clock = &clock->clock };

  start_world ();
  wy_rows_free (w.env.rows);
  wy_clock_manual_init (clock, 1000000);
  wy_clock_manual_advance (clock, 1000);
  o.http = w.env.http;
  o.address = platform_loopback (wy_platform_store_port (w.store));
  w.env.rows = wy_rows_new (&o);
}

static void
put_object (const char *name, const char *bytes, size_t n, struct result *r)
{
  wy_rows_put_object (w.env.rows, name, bytes, n, on_result, r);
  platform_fixture_run_ms (&w, 20);
}

/* The store stops responding and recovers.  Calls sent in between get no
   response; a write of results that waited for its timeout would delay a step
   of the trainer that is done.  So once a later call receives a response, the
   older ones must fail.  */
Test (rows, outage_calls_fail_after_recovery)
{
  struct wy_clock_manual clock;
  struct wy_row_write write = { "t", "a", "1", 1 };
  struct wy_rows_tx tx = { .partition = "", .writes = &write, .n_writes = 1 };
  struct result old = { 0 };
  struct result young = { 0 };

  start_with_clock (&clock);
  wy_platform_store_faults (w.store)->silent = true;
  wy_rows_tx (w.env.rows, &tx, on_result, &old);
  platform_fixture_run_ms (&w, 20);
  wy_clock_manual_advance (&clock, 500);
  wy_rows_tx (w.env.rows, &tx, on_result, &young);
  platform_fixture_run_ms (&w, 20);
  wy_platform_store_faults (w.store)->silent = false;
  wy_clock_manual_advance (&clock, 200);
  write_row ("b", "1", 0);
  cr_expect (old.done);
  cr_expect_eq (old.err, WY_ROWS_EUNKNOWN);
  /* Not sent early enough to count as lost.  */
  cr_expect (!young.done);
  platform_fixture_free (&w);
}

/* The response to a put of a job's body is lost.  Its timeout must depend on
   the size of the body, so that a step does not wait for seconds.  */
Test (rows, object_timeout_depends_on_size)
{
  enum
  {
    LARGE_BYTES = 1024 * 1024
  };
  struct wy_clock_manual clock;
  struct result small = { 0 };
  struct result large = { 0 };
  char *bytes = g_malloc0 (LARGE_BYTES);

  start_with_clock (&clock);
  wy_platform_store_faults (w.store)->silent = true;
  put_object ("small", bytes, 1, &small);
  put_object ("large", bytes, LARGE_BYTES, &large);
  wy_clock_manual_advance (&clock, 2100);
  platform_fixture_run_ms (&w, 250);
  cr_expect (small.done);
  cr_expect_eq (small.err, WY_ROWS_EUNKNOWN);
  cr_expect (!large.done);
  wy_clock_manual_advance (&clock, 2100);
  platform_fixture_run_ms (&w, 250);
  cr_expect (large.done);
  g_free (bytes);
  platform_fixture_free (&w);
}

/* On a slow store an object takes longer than many rows.  Rows with a response
   before it do not show that it is lost, but the end of an outage does.  */
Test (rows, row_response_does_not_fail_object)
{
  struct wy_clock_manual clock;
  struct result object = { 0 };

  start_with_clock (&clock);
  wy_platform_store_faults (w.store)->silent = true;
  put_object ("o", "1", 1, &object);
  wy_platform_store_faults (w.store)->silent = false;
  wy_clock_manual_advance (&clock, 1000);
  write_row ("a", "1", 0);
  cr_expect (!object.done);
  wy_platform_store_faults (w.store)->respond_503 = 1;
  write_row ("b", "1", 0);
  write_row ("c", "1", 0);
  cr_expect (object.done);
  platform_fixture_free (&w);
}

/* The store performs a write long after its sender has given it up and has
   written again.  The condition must keep it from overwriting the newer
   value.  */
Test (rows, late_write_is_rejected)
{
  struct wy_platform_store_faults *f;
  char *value;

  start_world ();
  f = wy_platform_store_faults (w.store);
  f->delay_tx = 1;
  f->delay_tx_ms = 60;
  cr_expect_eq (write_row ("a", "old", 0).err, WY_ROWS_EUNKNOWN);
  cr_expect_eq (write_row ("a", "new", 0).err, 0);
  platform_fixture_run_ms (&w, 120);
  value = wy_platform_store_value (w.store, "t", "", "a");
  cr_expect_str_eq (value, "new");
  g_free (value);
  platform_fixture_free (&w);
}

static struct wy_rows *peer_rows;

static void
on_forwarded (void *ctx, int status, const char *body, size_t n)
{
  wy_h1_respond (ctx, status, NULL, 0, body, n);
}

static void
on_relay_request (void *ctx, struct wy_h1_request *r)
{
  size_t n;
  const char *body = wy_h1_body (r, &n);

  wy_rows_forward (peer_rows, wy_h1_method (r), wy_h1_target (r), body, n,
                   on_forwarded, r);
}

static void
on_reject_all (void *ctx, struct wy_h1_request *r)
{
  wy_h1_respond (r, 503, NULL, 0, "", 0);
}

static struct wy_h1_server *
start_server (void (*on_request) (void *ctx, struct wy_h1_request *r))
{
  struct wy_h1_server_options o
      = { .loop = &w.loop,
          .host = "127.0.0.1",
          .limits = { 65536, 1 << 20, 1000, 10000, 1 << 24 },
          .on_request = on_request };
  struct wy_h1_server *s;

  cr_assert_eq (wy_h1_server_new (&s, &o), 0);
  return s;
}

/* The store rejects one instance while it serves the others.  The instance
   must reach it through a peer, to keep up with the configuration, and the
   call that discovers this must succeed too.  */
Test (rows, rejected_instance_uses_relay)
{
  struct wy_h1_server *rejecting;
  struct wy_h1_server *relay;
  struct wy_rows_options o = { .loop = &w.loop, .clock = wy_clock_system () };
  struct sockaddr_in peer;
  struct wy_rows_stats stats;

  start_world ();
  peer_rows = w.env.rows;
  rejecting = start_server (on_reject_all);
  relay = start_server (on_relay_request);
  o.http = w.client;
  o.address = platform_loopback (wy_h1_server_port (rejecting));
  w.env.rows = wy_rows_new (&o);
  peer = platform_loopback (wy_h1_server_port (relay));
  wy_rows_set_relays (w.env.rows, &peer, 1);
  cr_expect_eq (write_row ("a", "1", 0).err, 0);
  cr_expect_eq (write_row ("a", "1", 0).err, WY_ROWS_ECONFLICT);
  wy_rows_stats (w.env.rows, &stats);
  cr_expect_gt (stats.relayed, 0);
  cr_expect_not (stats.direct_ok);
  wy_rows_free (peer_rows);
  wy_h1_server_free (rejecting);
  wy_h1_server_free (relay);
  platform_fixture_free (&w);
}

/* The store rejects the peer that forwards a call as well.  The call was not
   done, so it must take another path at once: it could be a heartbeat or the
   end of a job.  */
Test (rows, rejected_relay_is_skipped)
{
  struct wy_h1_server *rejecting;
  struct wy_h1_server *relay;
  struct wy_rows_options o = { .loop = &w.loop, .clock = wy_clock_system () };
  struct sockaddr_in peers[3];

  start_world ();
  peer_rows = w.env.rows;
  rejecting = start_server (on_reject_all);
  relay = start_server (on_relay_request);
  o.http = w.client;
  o.address = platform_loopback (wy_h1_server_port (rejecting));
  w.env.rows = wy_rows_new (&o);
  peers[0] = o.address;
  peers[1] = o.address;
  peers[2] = platform_loopback (wy_h1_server_port (relay));
  wy_rows_set_relays (w.env.rows, peers, 3);
  for (int i = 0; i < 6; i++)
    {
      char key[2] = { (char)('a' + i), '\0' };

      cr_expect_eq (write_row (key, "1", 0).err, 0);
    }
  wy_rows_free (peer_rows);
  wy_h1_server_free (rejecting);
  wy_h1_server_free (relay);
  platform_fixture_free (&w);
}

/* Many processes start at once, and some calls of each are over the store's
   rate limit.  If each of these were retried through peers, they would add
   load, since the limit applies to the peers too.  */
Test (rows, rate_limit_is_not_relayed)
{
  struct wy_platform_store_faults *f;
  struct sockaddr_in peer;
  struct wy_rows_stats stats;

  start_world ();
  peer = platform_loopback (wy_platform_store_port (w.store));
  wy_rows_set_relays (w.env.rows, &peer, 1);
  f = wy_platform_store_faults (w.store);
  f->respond_429 = 1;
  cr_expect_eq (write_row ("a", "1", 0).err, WY_ROWS_EREFUSED);
  wy_rows_stats (w.env.rows, &stats);
  cr_expect_eq (stats.relayed, 0);
  cr_expect (stats.direct_ok);
  cr_expect_eq (write_row ("a", "1", 0).err, 0);
  platform_fixture_free (&w);
}
