/* The whole path of an entry: callers' HTTP to agents and back.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "entry/state.h"
#include "support/entry_world.h"

#define PROMPT "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":2}"
#define STREAM                                                                \
  "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":2,\"stream\":true}"

static bool
acknowledged (void *ctx)
{
  return ((struct world *)ctx)->agent[0].acks == 1;
}

Test (entry_path, whole_completion)
{
  struct world w;
  struct caller c;
  json_t *j;
  const char *text;

  world_start (&w, 1, false);
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, PROMPT);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  j = json_loads (c.body->str, 0, NULL);
  json_unpack (j, "{s:[{s:s}]}", "choices", "text", &text);
  cr_assert_str_eq (text, "t0 t1 ");
  cr_assert (call_says (&c, "\"segments\":[{\"version\":3"));
  cr_assert_not_null (c.request_id);
  world_run (&w, acknowledged, &w);
  cr_assert_eq (world_events (&w, "request.answered"), 1);
  json_decref (j);
  call_free (&c);
  world_end (&w);
}

/* An entry has just started and does not know its targets or configuration
   yet. Guards against requests that are served, or refused for good, on what
   it happens to know.  */
Test (entry_path, not_ready_is_told)
{
  struct world w;
  struct caller c;

  world_start (&w, 1, false);
  w.list_down = true;
  w.entry->list_known = false;
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, PROMPT);
  call_wait (&c);
  cr_expect_eq (c.status, 503, "%s", c.body->str);
  cr_expect_not_null (c.retry_after);
  cr_expect (call_says (&c, "no_config"));
  cr_expect_eq (world_events (&w, "request.received"), 0);
  call_free (&c);
  w.list_down = false;
  world_end (&w);
}

Test (entry_path, streamed_completion)
{
  struct world w;
  struct caller c;
  char *events;

  world_start (&w, 1, false);
  call_start (&c, &w, "POST", "/v1/completions", NULL, 0, STREAM);
  call_wait (&c);
  events = fake_events ("t0-1", 2);
  cr_assert_eq (c.status, 200);
  cr_assert_str_eq (c.body->str, events);
  g_free (events);
  call_free (&c);
  world_end (&w);
}

Test (entry_path, service_call_is_passed_through)
{
  struct world w;
  struct caller c;

  world_start (&w, 1, true);
  call_start (&c, &w, "PUT", "/services/portal/a/b?c=d", NULL, 0, "body");
  call_wait (&c);
  cr_assert_eq (c.status, 200);
  cr_assert_str_eq (c.body->str, "by t0");
  cr_assert_str_eq (w.agent[0].last_path, "/a/b?c=d");
  cr_assert_str_eq (w.agent[0].last_body, "body");
  call_free (&c);
  world_end (&w);
}
