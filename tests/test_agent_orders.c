/* Orders to the target, draining, stopping, and the weight relay.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "http/client.h"
#include "support/agent_fixture.h"

static bool
ordered (struct fixture *w)
{
  return w->entry[0].ordered > 0;
}

static bool
ordered_second (struct fixture *w)
{
  return w->entry[1].ordered > 0;
}

static bool
one_call (struct fixture *w)
{
  return w->n_calls >= 1;
}

static bool
first_ended (struct fixture *w)
{
  return w->entry[0].ends > 0;
}

static bool
first_refused (struct fixture *w)
{
  return w->entry[0].refused > 0;
}

static bool
three_results (struct fixture *w)
{
  return w->entry[0].ordered == 3;
}

static bool
both_notified (struct fixture *w)
{
  return w->entry[0].leaving > 0 && w->entry[1].leaving > 0;
}

static bool
has_stopped (struct fixture *w)
{
  return w->stopped;
}

static bool
is_undrained (struct fixture *w)
{
  return !w->entry[0].load.leaving;
}

static int32_t
order (struct fixture *w, uint32_t i, enum wy_order_kind kind, int64_t fence,
       int64_t version)
{
  w->entry[0].ordered = 0;
  w->entry[1].ordered = 0;
  agent_fixture_send_order (w, i, "o", kind, fence, version);
  agent_fixture_run_until (w, i ? ordered_second : ordered);
  return w->entry[i].order.result;
}

/* Send an order, and repeat it if the agent requests a confirmation.  */
static int32_t
order_confirmed (struct fixture *w, uint32_t i, enum wy_order_kind kind,
                 int64_t fence, int64_t version)
{
  int32_t result = order (w, i, kind, fence, version);

  if (result != WY_ORDER_ECONFIRM)
    return result;
  agent_fixture_run_ms (w, 100);
  return order (w, i, kind, fence, version);
}

Test (agent_orders, stage_and_activate)
{
  struct fixture w;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  cr_assert_eq (order_confirmed (&w, 0, WY_ORDER_STAGE, 5, 8), WY_ORDER_OK);
  cr_assert_eq (w.staged, 8);
  cr_assert_eq (order (&w, 0, WY_ORDER_ACTIVATE, 5, 8), WY_ORDER_OK);
  cr_assert_eq (w.entry[0].order.version, 8);
  cr_assert_eq (w.entry[0].order.highest_fence, 5);
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "fence.accepted")),
                2);
}

/* Load reports are delayed, so for some time after a swap they name the old
   version.  If the agent used them, the target would seem to go back to old
   weights, and its version would alternate in the status.  */
Test (agent_orders, delayed_load_report_after_a_swap)
{
  struct fixture w;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  cr_assert_eq (order_confirmed (&w, 0, WY_ORDER_STAGE, 5, 8), WY_ORDER_OK);
  w.reported_version = 7;
  cr_assert_eq (order (&w, 0, WY_ORDER_ACTIVATE, 5, 8), WY_ORDER_OK);
  agent_fixture_run_ms (&w, 400);
  cr_assert_eq (order (&w, 0, WY_ORDER_STAGE, 5, 9), WY_ORDER_OK);
  /* The version it started with, and the one after the swap.  */
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "target.version")),
                2);
}

/* The holder of a rollout's lease is paused and another process takes the
   lease.  The first one continues and sends orders.  This engine accepts
   orders from anyone, so its agent must reject them.  */
Test (agent_orders, holder_that_lost_its_lease)
{
  struct fixture w;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  cr_assert_eq (order_confirmed (&w, 0, WY_ORDER_STAGE, 5, 8), WY_ORDER_OK);
  cr_assert_eq (order (&w, 1, WY_ORDER_STAGE, 6, 9), WY_ORDER_OK);
  cr_assert_eq (order (&w, 0, WY_ORDER_ACTIVATE, 5, 8), WY_ORDER_EFENCE);
  cr_assert_eq (w.version, 7);
  cr_assert_eq (w.entry[0].order.highest_fence, 6);
}

/* The agent has restarted and knows no fencing token when several orders
   arrive that a paused holder sent together.  All of them are sent back; only
   one sent after that reply arrived is executed.  */
Test (agent_orders, fencing_token_unknown_after_restart)
{
  struct fixture w;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  w.s.heartbeat_ms = 2000;
  agent_fixture_start (&w);
  agent_fixture_run_ms (&w, 50);
  for (int i = 0; i < 3; i++)
    agent_fixture_send_order (&w, 0, "o", WY_ORDER_STAGE, 5, 8);
  agent_fixture_run_until (&w, three_results);
  cr_assert_eq (w.entry[0].order.result, WY_ORDER_ECONFIRM);
  cr_assert_eq (w.staged, 0);
  agent_fixture_run_ms (&w, 100);
  cr_assert_eq (order (&w, 0, WY_ORDER_STAGE, 5, 8), WY_ORDER_OK);
}

/* The engine knows a higher fencing token than its agent.  */
Test (agent_orders, engine_knows_a_higher_token)
{
  struct fixture w;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  w.highest_fence = 9;
  agent_fixture_start (&w);
  cr_assert_eq (order_confirmed (&w, 0, WY_ORDER_STAGE, 5, 8),
                WY_ORDER_EFENCE);
  cr_assert_eq (w.entry[0].order.highest_fence, 9);
  cr_assert_eq (order (&w, 0, WY_ORDER_STAGE, 8, 8), WY_ORDER_EFENCE);
  cr_assert_eq (w.staged, 0);
}

/* The engine can't load the new weights.  The old version stays in force, and
   the result names it.  */
Test (agent_orders, failed_swap)
{
  struct fixture w;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  w.fail_order = true;
  agent_fixture_start (&w);
  cr_assert_eq (order_confirmed (&w, 0, WY_ORDER_ACTIVATE, 5, 8),
                WY_ORDER_ETARGET);
  cr_assert_eq (w.entry[0].order.version, 7);
}

/* An agent stops.  It notifies all entries itself, since the instance list is
   delayed; runs in progress complete; new requests are rejected as not run;
   the agent ends when the last result was acknowledged.  */
Test (agent_orders, graceful_stop_aborts_nothing)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");
  struct wy_frame_submit late = agent_fixture_submit_model ("r2");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 3);
  wy_agent_stop (w.agent);
  agent_fixture_run_until (&w, both_notified);
  agent_fixture_send_submit (&w, 0, &late);
  agent_fixture_run_until (&w, first_refused);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_LEAVING);
  cr_assert_eq (w.entry[0].refused_ran, WY_RAN_NO);
  agent_fixture_run_ms (&w, 300);
  cr_assert_not (w.stopped);
  agent_fixture_send_tokens (&w, 0, 3);
  agent_fixture_send_end (&w, 0);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_DONE);
  agent_fixture_run_ms (&w, 150);
  cr_assert_not (w.stopped, "the result isn't acknowledged");
  agent_fixture_send_frame (&w, 0, WY_FRAME_ACK, "r1", w.entry[0].end_run, 0);
  agent_fixture_run_until (&w, has_stopped);
  cr_assert_eq (w.cut, 0);
  cr_assert_eq (w.n_calls, 1);
}

/* An operator ends the agent immediately during a graceful stop.  It reports
   how many requests are aborted.  */
Test (agent_orders, immediate_stop_reports_aborted_requests)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  wy_agent_stop (w.agent);
  agent_fixture_run_until (&w, both_notified);
  cr_assert_eq (wy_agent_stop_now (w.agent), 1);
  cr_assert_eq (w.cut, 1);
}

/* Requests that are waiting when the target is drained are rejected at once,
   proven not to have run, and can run elsewhere.  Then the target is
   undrained.  */
Test (agent_orders, drain_and_undrain)
{
  struct fixture w;
  struct wy_frame_submit running = agent_fixture_submit_model ("r1");
  struct wy_frame_submit waiting = agent_fixture_submit_model ("r2");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  w.s.concurrency = 1;
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 1, &running);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_submit (&w, 0, &waiting);
  agent_fixture_run_ms (&w, 20);
  cr_assert_eq (order (&w, 1, WY_ORDER_DRAIN, 0, 0), WY_ORDER_OK);
  agent_fixture_run_until (&w, first_refused);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_LEAVING);
  cr_assert_eq (w.entry[0].refused_ran, WY_RAN_NO);
  agent_fixture_run_until (&w, both_notified);
  cr_assert_eq (order (&w, 1, WY_ORDER_UNDRAIN, 0, 0), WY_ORDER_OK);
  agent_fixture_run_until (&w, is_undrained);
  agent_fixture_send_tokens (&w, 0, 1);
  agent_fixture_send_end (&w, 0);
  agent_fixture_send_submit (&w, 0, &waiting);
  w.n_calls = 0;
  agent_fixture_run_until (&w, one_call);
}

/* An entry that reconnects has given up its old connection.  The agent must
   close it: a SUBMIT delayed there could run after the entry had reported "not
   run".  */
Test (agent_orders, older_connection_of_an_entry_is_closed)
{
  struct fixture w;
  struct wy_conn *old;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  old = w.entry[0].conn;
  agent_fixture_connect (&w, 0);
  agent_fixture_run_until (&w, agent_fixture_entries_ready);
  agent_fixture_run_ms (&w, 50);
  cr_assert_eq (w.entry[0].closed, 1);
  cr_assert (w.entry[0].conn != old && wy_conn_is_ready (w.entry[0].conn));
}

struct reading
{
  struct fixture *w;
  uint32_t done;
  char *body;
};

static void
on_read (void *ctx, const struct wy_http_response *a)
{
  struct reading *r = ctx;

  cr_assert_eq (a->status, 200);
  g_free (r->body);
  r->body = g_strdup (a->body);
  r->done++;
  uv_stop (&r->w->loop);
}

static uint32_t store_calls;

static void
on_store (struct wy_http_exchange *ex, void *ctx)
{
  store_calls++;
  wy_http_respond (ex, 200, "application/octet-stream", wy_http_path (ex),
                   strlen (wy_http_path (ex)));
}

/* Many agents stage a version at once and the weight store is rate-limited.
   Parts that an agent has fetched are served to others from its cache.  */
Test (agent_orders, weights_are_relayed)
{
  struct fixture w;
  struct reading r = { .w = &w };
  struct wy_http_server *store;
  struct wy_http_client *client;
  struct wy_http_server_options so = { .loop = &w.loop,
                                       .host = "127.0.0.1",
                                       .body_limit_bytes = 4096,
                                       .on_request = on_store };
  struct wy_http_call_options o
      = { .method = "GET",
          .host = "127.0.0.1",
          .path = "/weights/pattern/8?offset=0&size=100" };

  agent_fixture_init (&w, WY_TARGET_MODEL);
  cr_assert_eq (wy_http_server_new (&store, &so), 0);
  w.s.weights_url
      = g_strdup_printf ("127.0.0.1:%u", wy_http_server_port (store));
  agent_fixture_start (&w);
  cr_assert_eq (order_confirmed (&w, 0, WY_ORDER_STAGE, 5, 8), WY_ORDER_OK);
  cr_assert_not_null (strstr (w.last_order, "\"source\":\"127.0.0.1:"));
  client = wy_http_client_new (&w.loop, 5000);
  o.port = wy_agent_weights_port (w.agent);
  for (int i = 0; i < 3; i++)
    {
      wy_http_fetch (client, &o, on_read, &r);
      uv_run (&w.loop, UV_RUN_DEFAULT);
    }
  cr_assert_eq (r.done, 3);
  cr_assert_str_eq (r.body, "/weights/pattern/8");
  cr_assert_eq (store_calls, 1);
}
