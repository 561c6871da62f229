/* An entry with fake agents, an instance list and callers on one event
   loop.  */
#include "entry_fixture.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/id.h"
#include "trace/log.h"

enum
{
  /* Makes a hang fail instead of blocking the test run.  */
  WAIT_LIMIT_MS = 10000
};

static bool log_is_open;

static void
on_list (struct wy_http_exchange *ex, void *ctx)
{
  struct fixture *w = ctx;
  GString *s = g_string_new (NULL);

  if (w->list_unavailable)
    {
      wy_http_respond (ex, 503, "text/plain", "", 0);
      g_string_free (s, TRUE);
      return;
    }
  g_string_printf (s, "{\"as_of_ms\":%lld,\"instances\":[",
                   (long long)wy_clock_wall_ms (wy_clock_system ()));
  for (uint32_t i = 0; i < w->agents; i++)
    {
      if (w->unlisted[i])
        continue;
      g_string_append_printf (
          s,
          "%s{\"id\":\"%s\",\"role\":\"agent\",\"host\":\"127.0.0.1\","
          "\"port\":%u,\"availability_zone\":\"%c\",\"state\":\"%s\","
          "\"serves\":\"%s\",\"kind\":\"%s\"}",
          s->str[s->len - 1] == '[' ? "" : ",", w->agent[i].name,
          relay_port (w->relay[i]), (char)('a' + i),
          w->leaving[i] ? "leaving" : "live", w->service ? "portal" : "m",
          w->service ? "service" : "model");
    }
  g_string_append (s, "]}");
  wy_http_respond (ex, 200, "application/json", s->str, s->len);
  g_string_free (s, TRUE);
}

static void
load_settings (struct fixture *w, const char *extra_settings)
{
  char path[] = "/tmp/wy-entry-XXXXXX";
  int fd = mkstemp (path);
  GString *errors = g_string_new (NULL);
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "name: entry-1\navailability_zone: a\nkey_1: 1:secret\n"
                   "list: 127.0.0.1:%u\noperator_token: op\n"
                   "trainer_token: tr\nheartbeat_ms: 50\n"
                   "silence_limit_ms: 300\nlist_poll_ms: 100\n%s",
                   wy_http_server_port (w->list), extra_settings);
  cr_assert_geq (fd, 0);
  cr_assert_eq (write (fd, text->str, text->len), (ssize_t)text->len);
  close (fd);
  cr_assert_eq (wy_settings_load (path, wy_entry_settings_table,
                                  wy_entry_settings_count, &w->settings,
                                  errors),
                0, "%s", errors->str);
  unlink (path);
  g_string_free (errors, TRUE);
  g_string_free (text, TRUE);
}

static void
on_change (void *ctx, const struct wy_document *d, int64_t revision)
{
  struct fixture *w = ctx;

  if (w->entry)
    wy_entry_configure (w->entry, d);
}

static void
start_entry (struct fixture *w, const char *extra_settings)
{
  static const char document[]
      = "{\"models\":[{\"name\":\"m\"}],\"services\":[{\"name\":\"portal\","
        "\"members\":[\"t0\",\"t1\",\"t2\"],\"previous\":[],"
        "\"effective_ms\":0}],\"yards\":[],\"drained\":[],\"unblocked\":[]}";
  struct wy_trace_options trace = { .process = "entry-1",
                                    .incarnation = "i1",
                                    .clock = wy_clock_system () };
  struct wy_config_feed_options feed = { .loop = &w->loop,
                                         .clock = wy_clock_system (),
                                         .on_change = on_change,
                                         .ctx = w };
  struct wy_entry_options o = { .loop = &w->loop,
                                .clock = wy_clock_system (),
                                .settings = &w->settings };

  load_settings (w, extra_settings);
  cr_assert_eq (wy_trace_new (&w->trace, &trace), 0);
  w->metrics = wy_metrics_new ();
  feed.trace = w->trace;
  w->feed = wy_config_feed_new (&feed);
  o.trace = w->trace;
  o.metrics = w->metrics;
  o.feed = w->feed;
  cr_assert_eq (wy_entry_new (&w->entry, &o), 0);
  cr_assert_eq (
      wy_config_feed_offer (w->feed, 1, 1, document, strlen (document)), 0);
}

/* Like fixture_start, with lines of settings appended.  */
void
fixture_start_with (struct fixture *w, uint32_t n, bool service,
                    const char *extra_settings)
{
  struct wy_http_server_options list
      = { .loop = &w->loop, .host = "127.0.0.1", .on_request = on_list };
  char name[8];

  /* As wyentryd does.  */
  signal (SIGPIPE, SIG_IGN);
  memset (w, 0, sizeof *w);
  /* log4c can't be opened a second time.  */
  if (!log_is_open)
    wy_log_open ("entry-1", WY_LOG_ERROR);
  log_is_open = true;
  uv_loop_init (&w->loop);
  list.ctx = w;
  list.body_limit_bytes = 1024;
  w->agents = n;
  w->service = service;
  cr_assert_eq (wy_http_server_new (&w->list, &list), 0);
  for (uint32_t i = 0; i < n; i++)
    {
      g_snprintf (name, sizeof name, "t%u", i);
      w->agent[i].test = w;
      fake_agent_start (&w->agent[i], &w->loop, name, "first", 0);
      w->relay[i] = relay_start (&w->loop, w->agent[i].port);
    }
  w->client = wy_http_client_new (&w->loop, WAIT_LIMIT_MS);
  start_entry (w, extra_settings);
  fixture_wait_ready (w);
}

/* Start an entry and N agents that serve the service "portal" or the model
   "m", and wait until all are connected.  */
void
fixture_start (struct fixture *w, uint32_t n, bool service)
{
  fixture_start_with (w, n, service, "");
}

/* Run the loop until UNTIL returns true.  */
void
fixture_run_until (struct fixture *w, bool (*until) (void *ctx), void *ctx)
{
  int64_t limit = wy_clock_mono_ms (wy_clock_system ()) + WAIT_LIMIT_MS;

  while (!until (ctx))
    {
      cr_assert_lt (wy_clock_mono_ms (wy_clock_system ()), limit, "timed out");
      uv_run (&w->loop, UV_RUN_ONCE);
    }
}

static bool
time_over (void *limit_ms)
{
  return wy_clock_mono_ms (wy_clock_system ()) >= *(int64_t *)limit_ms;
}

/* Run the loop for MS milliseconds.  */
void
fixture_run_ms (struct fixture *w, uint32_t ms)
{
  int64_t limit_ms = wy_clock_mono_ms (wy_clock_system ()) + ms;

  fixture_run_until (w, time_over, &limit_ms);
}

static bool
all_connected (void *ctx)
{
  struct fixture *w = ctx;

  for (uint32_t i = 0; i < w->agents; i++)
    if (w->agent[i].listener && !w->agent[i].conn)
      return false;
  return true;
}

/* Wait until the entry has an authenticated connection to each agent.  */
void
fixture_wait_ready (struct fixture *w)
{
  fixture_run_until (w, all_connected, w);
  fixture_run_ms (w, 120);
}

static void
on_stopped (void *ctx, uint32_t aborted)
{
  struct fixture *w = ctx;

  w->cut = aborted;
  w->stopped = true;
}

static bool
is_stopped (void *ctx)
{
  return ((struct fixture *)ctx)->stopped;
}

/* Stop the entry, the agents and the instance list.  */
void
fixture_stop (struct fixture *w)
{
  if (!w->stopped)
    {
      wy_entry_stop (w->entry, on_stopped, w);
      wy_entry_stop_now (w->entry);
      fixture_run_until (w, is_stopped, w);
    }
  wy_entry_close (w->entry);
  for (uint32_t i = 0; i < w->agents; i++)
    {
      fake_agent_stop (&w->agent[i]);
      relay_stop (w->relay[i]);
    }
  wy_http_server_free (w->list);
  for (int i = 0; i < 50; i++)
    uv_run (&w->loop, UV_RUN_NOWAIT);
  for (uint32_t i = 0; i < w->agents; i++)
    {
      fake_agent_free (&w->agent[i]);
      relay_free (w->relay[i]);
    }
  wy_entry_free (w->entry);
  wy_config_feed_free (w->feed);
  wy_trace_free (w->trace);
  wy_metrics_free (w->metrics);
  wy_settings_free (wy_entry_settings_table, wy_entry_settings_count,
                    &w->settings);
}

/* The number of events EVENT in the entry's timeline.  */
uint64_t
fixture_count_events (struct fixture *w, const char *event)
{
  GString *all = g_string_new (NULL);
  char *want = g_strdup_printf ("\"ev\":\"%s\"", event);
  uint64_t n = 0;

  wy_trace_read (w->trace, 0, all);
  for (const char *p = all->str; (p = strstr (p, want)); p++)
    n++;
  g_free (want);
  g_string_free (all, TRUE);
  return n;
}

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  struct caller *c = ctx;

  c->status = status;
  for (size_t i = 0; i < n; i++)
    {
      if (!strcmp (headers[i].name, "waxwing-request-id"))
        c->request_id = g_strdup (headers[i].value);
      if (!strcmp (headers[i].name, "retry-after"))
        c->retry_after = g_strdup (headers[i].value);
    }
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  g_string_append_len (((struct caller *)ctx)->body, p, (gssize)n);
}

static void
on_end (void *ctx, int err)
{
  struct caller *c = ctx;

  c->err = err;
  c->done = true;
  c->call = NULL;
}

/* Send a request to the entry of W.  */
void
call_start (struct caller *c, struct fixture *w, const char *method,
            const char *path, const struct wy_http_header_field *headers,
            size_t n, const char *body)
{
  struct wy_http_call_options o = { .method = method,
                                    .host = "127.0.0.1",
                                    .port = wy_entry_port (w->entry),
                                    .path = path,
                                    .headers = headers,
                                    .n_headers = n,
                                    .body = body,
                                    .body_size_bytes = strlen (body),
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .ctx = c };

  memset (c, 0, sizeof *c);
  c->w = w;
  c->body = g_string_new (NULL);
  c->call = wy_http_call_start (w->client, &o);
}

/* Whether the response to CALLER has ended.  */
bool
call_done (void *caller)
{
  return ((struct caller *)caller)->done;
}

/* Wait for the end of the response to C.  */
void
call_wait (struct caller *c)
{
  fixture_run_until (c->w, call_done, c);
}

/* Free the memory of C.  */
void
call_free (struct caller *c)
{
  g_string_free (c->body, TRUE);
  g_free (c->request_id);
  g_free (c->retry_after);
}

/* Whether the response body of C contains TEXT.  */
bool
call_body_contains (const struct caller *c, const char *text)
{
  return strstr (c->body->str, text) != NULL;
}
