/* The request path of an entry: from callers' HTTP to agents and back.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "entry/state.h"
#include "support/entry_fixture.h"

#define UNSTREAMED "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":2}"
#define STREAM                                                                \
  "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":2,\"stream\":true}"

static bool
acknowledged (void *ctx)
{
  return ((struct fixture *)ctx)->agent[0].acks == 1;
}

Test (entry_path, unstreamed_completion)
{
  struct fixture w;
  struct caller c;
  json_t *j;
  const char *text;

  fixture_start (&w, 1, false);
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, UNSTREAMED);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  j = json_loads (c.body->str, 0, NULL);
  json_unpack (j, "{s:[{s:s}]}", "choices", "text", &text);
  cr_assert_str_eq (text, "t0 t1 ");
  cr_assert (call_body_contains (&c, "\"segments\":[{\"version\":3"));
  cr_assert_not_null (c.request_id);
  fixture_run_until (&w, acknowledged, &w);
  cr_assert_eq (fixture_count_events (&w, "request.answered"), 1);
  json_decref (j);
  call_free (&c);
  fixture_stop (&w);
}

/* An entry has just started and knows neither its targets nor the
   configuration yet.  Guards against serving requests, or rejecting them
   permanently, on incomplete knowledge.  */
Test (entry_path, not_ready)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 1, false);
  w.list_unavailable = true;
  w.entry->list_known = false;
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, UNSTREAMED);
  call_wait (&c);
  cr_expect_eq (c.status, 503, "%s", c.body->str);
  cr_expect_not_null (c.retry_after);
  cr_expect (call_body_contains (&c, "no_config"));
  cr_expect_eq (fixture_count_events (&w, "request.received"), 0);
  call_free (&c);
  w.list_unavailable = false;
  fixture_stop (&w);
}

Test (entry_path, streamed_completion)
{
  struct fixture w;
  struct caller c;
  char *events;

  fixture_start (&w, 1, false);
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, STREAM);
  call_wait (&c);
  events = fake_event_stream ("t0-1", 2);
  cr_assert_eq (c.status, 200);
  cr_assert_str_eq (c.body->str, events);
  g_free (events);
  call_free (&c);
  fixture_stop (&w);
}

Test (entry_path, service_request_is_forwarded)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 1, true);
  call_start (&c, &w, "PUT", "/services/portal/a/b?c=d", NULL, 0, "body");
  call_wait (&c);
  cr_assert_eq (c.status, 200);
  cr_assert_str_eq (c.body->str, "by t0");
  cr_assert_str_eq (w.agent[0].last_path, "/a/b?c=d");
  cr_assert_str_eq (w.agent[0].last_body, "body");
  call_free (&c);
  fixture_stop (&w);
}
