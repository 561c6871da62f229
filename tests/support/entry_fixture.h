/* An entry with fake agents, an instance list and callers on one event
   loop.  */
#ifndef WY_TEST_ENTRY_FIXTURE_H
#define WY_TEST_ENTRY_FIXTURE_H

#include "entry/entry.h"
#include "http/client.h"
#include "fake_agent.h"
#include "relay.h"

#define FIXTURE_AGENTS 3

struct fixture
{
  uv_loop_t loop;
  struct wy_entry_settings settings;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_config_feed *feed;
  struct wy_entry *entry;
  struct wy_http_server *list;
  struct wy_http_client *client;
  struct fake_agent agent[FIXTURE_AGENTS];
  struct relay *relay[FIXTURE_AGENTS];
  bool service; /* the agents serve "portal", else the model "m" */
  bool leaving[FIXTURE_AGENTS];
  bool unlisted[FIXTURE_AGENTS];
  bool list_unavailable;
  uint32_t agents;
  uint32_t cut; /* requests aborted by the stop */
  bool stopped;
};

/* One caller's request and the response to it.  */
struct caller
{
  struct fixture *w;
  struct wy_http_call *call;
  GString *body;
  char *request_id;
  char *retry_after;
  int status;
  int err;
  bool done;
};

/* Start an entry and N agents.  */
void fixture_start (struct fixture *w, uint32_t n, bool service);
/* The same, with lines of SETTINGS appended.  */
void fixture_start_with (struct fixture *w, uint32_t n, bool service,
                         const char *settings);
void fixture_run_until (struct fixture *w, bool (*until) (void *ctx),
                        void *ctx);
void fixture_run_ms (struct fixture *w, uint32_t ms);
void fixture_wait_ready (struct fixture *w);
void fixture_stop (struct fixture *w);
uint64_t fixture_count_events (struct fixture *w, const char *event);

void call_start (struct caller *c, struct fixture *w, const char *method,
                 const char *path, const struct wy_http_header_field *headers,
                 size_t n, const char *body);
bool call_done (void *caller);
void call_wait (struct caller *c);
void call_free (struct caller *c);
bool call_body_contains (const struct caller *c, const char *text);

#endif
