/* An agent with a plain service whose requests may be non-idempotent.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "base/id.h"
#include "support/agent_fixture.h"

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
second_ended (struct fixture *w)
{
  return w->entry[1].ends > 0;
}

static bool
first_refused (struct fixture *w)
{
  return w->entry[0].refused > 0;
}

static bool
second_refused (struct fixture *w)
{
  return w->entry[1].refused > 0;
}

static bool
config_known (struct fixture *w)
{
  return w->entry[0].config_revision == 1;
}

/* Start with the target as the only member, and wait until keys issued now are
   newer than the start of this incarnation by more than the clock skew.  */
static void
start (struct fixture *w)
{
  agent_fixture_init (w, WY_TARGET_SERVICE);
  agent_fixture_start (w);
  agent_fixture_send_config (w, 0, 1, "\"t-1\"");
  agent_fixture_run_until (w, config_known);
  agent_fixture_run_ms (w, 4 * (uint32_t)w->s.clock_skew_ms);
}

static void
respond (struct fixture *w, uint32_t call, int status, const char *text)
{
  wy_http_on_abort (w->calls[call].ex, NULL, NULL);
  wy_http_respond (w->calls[call].ex, status, "application/json", text,
                   strlen (text));
}

Test (agent_service, request_and_response_are_forwarded)
{
  struct fixture w;
  struct wy_frame_submit s;

  start (&w);
  s = agent_fixture_submit_service (&w, "portal:k1", true);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  cr_assert_str_eq (w.calls[0].path, "/filings");
  cr_assert_str_eq (w.calls[0].body, "{\"key\":\"k\"}");
  cr_assert_str_eq (w.calls[0].request, "portal:k1");
  respond (&w, 0, 201, "{\"serial\":1}");
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].status, 201);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_DONE);
  cr_assert_eq (w.entry[0].end.ran, WY_RAN_YES);
  cr_assert_eq (w.entry[0].body->len, 12);
}

/* The entry fails after it submitted a filing.  The caller sends the filing
   again through another entry, twice: while it runs and after it has ended.
   It runs once, and the caller receives the response of that run.  */
Test (agent_service, sent_again_through_another_entry)
{
  struct fixture w;
  struct wy_frame_submit s;

  start (&w);
  s = agent_fixture_submit_service (&w, "portal:k1", true);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_disconnect (&w, 0);
  agent_fixture_run_ms (&w, 2 * (uint32_t)w.s.orphan_grace_ms);
  cr_assert_not (w.calls[0].gone, "a filing runs to completion");
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_run_ms (&w, 20);
  respond (&w, 0, 200, "{\"serial\":1}");
  agent_fixture_run_until (&w, second_ended);
  agent_fixture_send_frame (&w, 1, WY_FRAME_ACK, "portal:k1",
                            w.entry[1].end_run, 0);
  agent_fixture_connect (&w, 0);
  agent_fixture_run_until (&w, agent_fixture_entries_ready);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.n_calls, 1);
  cr_assert_eq (w.entry[0].body->len, 12);
  cr_assert_eq (w.entry[0].end.digest, w.entry[1].end.digest);
}

/* The service fails during a filing.  Whether it was recorded is unknown, and
   it must not run again: the outcome is "unknown", now and when the caller
   sends it again.  */
Test (agent_service, service_fails_during_a_filing)
{
  struct fixture w;
  struct wy_frame_submit s;

  start (&w);
  s = agent_fixture_submit_service (&w, "portal:k1", true);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  wy_http_close_connection (w.calls[0].ex);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_CRASHED);
  cr_assert_eq (w.entry[0].end.ran, WY_RAN_UNKNOWN);
  s.attempt = 2;
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_run_until (&w, second_ended);
  cr_assert_eq (w.entry[1].end.result, WY_RUN_CRASHED);
  cr_assert_eq (w.n_calls, 1);
}

/* The response of a new incarnation of the agent to a key it has no memory
   of.  */
struct key_case
{
  const char *what;
  int64_t issued_after_ms; /* from now; INT64_MIN: no issue time */
  bool is_home;
  enum wy_refusal_reason reason;
  enum wy_ran ran;
};

/* The agent has restarted and lost its memory of keys.  A key from before may
   have run: it isn't run again, and isn't reported as not run.  A key from the
   far future is rejected.  */
Test (agent_service, keys_that_are_not_run)
{
  const struct key_case table[] = {
    { "issued before the start", -60000, true, WY_REFUSED_TOO_OLD,
      WY_RAN_UNKNOWN },
    { "issued in the future", 60000, true, WY_REFUSED_TOO_NEW, WY_RAN_NO },
    { "without issue time", INT64_MIN, true, WY_REFUSED_TOO_OLD,
      WY_RAN_UNKNOWN },
    { "of another member", 0, false, WY_REFUSED_NOT_HOME, WY_RAN_UNKNOWN },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    {
      struct fixture w;
      struct wy_frame_submit s;

      start (&w);
      if (!table[i].is_home)
        {
          agent_fixture_send_config (&w, 0, 2, "\"t-2\"");
          agent_fixture_run_ms (&w, 4 * (uint32_t)w.s.clock_skew_ms);
        }
      s = agent_fixture_submit_service (&w, "portal:k1", true);
      if (table[i].issued_after_ms == INT64_MIN)
        s.issued_ms = 0;
      else
        s.issued_ms += table[i].issued_after_ms;
      agent_fixture_send_submit (&w, 0, &s);
      agent_fixture_run_until (&w, first_refused);
      cr_expect_eq (w.entry[0].reason, table[i].reason, "%s", table[i].what);
      cr_expect_eq (w.entry[0].refused_ran, table[i].ran, "%s", table[i].what);
      cr_expect_eq (w.n_calls, 0, "%s", table[i].what);
    }
}

/* No entry has sent the agent the member list yet, so it can't know whether it
   is the home of the filing.  */
Test (agent_service, no_configuration_yet)
{
  struct fixture w;
  struct wy_frame_submit s;

  agent_fixture_init (&w, WY_TARGET_SERVICE);
  agent_fixture_start (&w);
  agent_fixture_run_ms (&w, 4 * (uint32_t)w.s.clock_skew_ms);
  s = agent_fixture_submit_service (&w, "portal:k1", true);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_refused);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_NO_CONFIG);
  cr_assert_eq (w.entry[0].refused_ran, WY_RAN_UNKNOWN);
}

/* An entry that was paused sends an old configuration.  The agent keeps the
   newer one and sends it to the entry.  */
Test (agent_service, configuration_never_goes_back)
{
  struct fixture w;

  start (&w);
  agent_fixture_send_config (&w, 1, 3, "\"t-1\"");
  agent_fixture_run_ms (&w, 60);
  agent_fixture_send_config (&w, 0, 2, "\"t-2\"");
  agent_fixture_run_ms (&w, 60);
  cr_assert_eq (w.entry[0].config_revision, 3);
  w.entry[0].config_revision = 2;
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "config.in_force")),
                2);
}

/* Results that no entry has fetched fill the memory.  New work is rejected
   before it runs; no result that somebody waits for is discarded.  */
Test (agent_service, results_fill_the_memory)
{
  struct fixture w;
  struct wy_frame_submit s;
  char *large = g_strnfill (70000, 'x');

  start (&w);
  w.s.retained_bytes = 65536;
  s = agent_fixture_submit_service (&w, "r1", false);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  respond (&w, 0, 200, large);
  agent_fixture_run_until (&w, first_ended);
  s = agent_fixture_submit_service (&w, "r2", false);
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_run_until (&w, second_refused);
  cr_assert_eq (w.entry[1].reason, WY_REFUSED_FULL);
  cr_assert_eq (w.entry[1].refused_ran, WY_RAN_NO);
  agent_fixture_send_frame (&w, 0, WY_FRAME_ACK, "r1", w.entry[0].end_run, 0);
  agent_fixture_run_ms (&w, 30);
  agent_fixture_send_submit (&w, 1, &s);
  w.n_calls = 0;
  agent_fixture_run_until (&w, one_call);
}

/* Submit KEY through entry 0, with a response of N bytes, and acknowledge
   it.  */
static void
file_and_acknowledge (struct fixture *w, const char *key, size_t n)
{
  struct wy_frame_submit s = agent_fixture_submit_service (w, key, true);
  char *text = g_strnfill (n, 'z');

  w->n_calls = 0;
  w->entry[0].ends = 0;
  g_byte_array_set_size (w->entry[0].body, 0);
  agent_fixture_send_submit (w, 0, &s);
  agent_fixture_run_until (w, one_call);
  respond (w, 0, 200, text);
  agent_fixture_run_until (w, first_ended);
  agent_fixture_send_frame (w, 0, WY_FRAME_ACK, key, w->entry[0].end_run, 0);
  g_free (text);
}

/* Callers send a filing again if its response was lost between entry and
   caller.  Acknowledged results are retained for that, the latest longest.  If
   a result was discarded, it is still known that the filing ran.  */
Test (agent_service, oldest_results_are_discarded_first)
{
  struct fixture w;
  struct wy_frame_submit s;

  start (&w);
  w.s.retained_bytes = 65536;
  w.s.retained_ms = 60000;
  file_and_acknowledge (&w, "portal:k1", 30000);
  file_and_acknowledge (&w, "portal:k2", 32000);
  file_and_acknowledge (&w, "portal:k3", 10);
  w.n_calls = 0;
  s = agent_fixture_submit_service (&w, "portal:k1", true);
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_run_until (&w, second_refused);
  cr_assert_eq (w.entry[1].reason, WY_REFUSED_LOST);
  cr_assert_eq (w.entry[1].refused_ran, WY_RAN_YES);
  s = agent_fixture_submit_service (&w, "portal:k2", true);
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_run_until (&w, second_ended);
  cr_assert_eq (w.entry[1].body->len, 32000);
  cr_assert_eq (w.n_calls, 0);
}

static bool
outcome_received (struct fixture *w)
{
  return w->entry[1].outcomes > 0;
}

/* A caller whose response was lost queries the outcome of its filing.  */
Test (agent_service, outcome_by_identifier)
{
  struct fixture w;
  struct wy_frame_submit s;

  start (&w);
  s = agent_fixture_submit_service (&w, "portal:k1", true);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  respond (&w, 0, 200, "{}");
  agent_fixture_run_until (&w, first_ended);
  agent_fixture_send_frame (&w, 1, WY_FRAME_QUERY, "portal:k1", "", 0);
  agent_fixture_run_until (&w, outcome_received);
  cr_assert_eq (w.entry[1].outcome.result, WY_RUN_DONE);
  cr_assert_eq (w.entry[1].outcome.ran, WY_RAN_YES);
  w.entry[1].outcomes = 0;
  agent_fixture_send_frame (&w, 1, WY_FRAME_QUERY, "portal:never", "", 0);
  agent_fixture_run_until (&w, outcome_received);
  cr_assert_eq (w.entry[1].outcome.ran, WY_RAN_UNKNOWN);
}

/* A header or path with a line break would inject a second request to the
   service.  */
Test (agent_service, line_breaks_are_rejected)
{
  struct fixture w;
  struct wy_frame_submit s;
  const struct wy_header_pair bad
      = { wy_bytes_of ("x"), wy_bytes_of ("1\r\nPOST /filings HTTP/1.1") };

  start (&w);
  s = agent_fixture_submit_service (&w, "r1", false);
  s.headers = &bad;
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_refused);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_BAD_REQUEST);
  s = agent_fixture_submit_service (&w, "r2", false);
  s.path = wy_bytes_of ("/a HTTP/1.1\r\n\r\nGET /");
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_run_until (&w, second_refused);
  cr_assert_eq (w.entry[1].reason, WY_REFUSED_BAD_REQUEST);
  cr_assert_eq (w.n_calls, 0);
}

/* A response much larger than the limit of unsent bytes is fetched from the
   beginning by a second entry after it is complete.  */
Test (agent_service, large_response_is_replayed)
{
  struct fixture w;
  struct wy_frame_submit s;
  char *large = g_strnfill (6000000, 'y');

  start (&w);
  s = agent_fixture_submit_service (&w, "portal:k1", true);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  respond (&w, 0, 200, large);
  agent_fixture_run_until (&w, first_ended);
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_run_until (&w, second_ended);
  cr_assert_eq (w.entry[0].body->len, 6000000);
  cr_assert_eq (w.entry[1].body->len, 6000000);
  cr_assert_not (w.entry[1].gap);
  cr_assert_eq (w.entry[1].end.digest,
                wy_hash64 (w.entry[1].body->data, w.entry[1].body->len, 0));
}
