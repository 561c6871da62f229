/* An entry with fake agents, an instance list and callers on one loop.  */
#ifndef WY_TEST_ENTRY_WORLD_H
#define WY_TEST_ENTRY_WORLD_H

#include "entry/entry.h"
#include "http/client.h"
#include "fake_agent.h"
#include "relay.h"

#define WORLD_AGENTS 3

struct world
{
  uv_loop_t loop;
  struct wy_entry_settings settings;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_config_feed *feed;
  struct wy_entry *entry;
  struct wy_http_server *list;
  struct wy_http_client *client;
  struct fake_agent agent[WORLD_AGENTS];
  struct relay *relay[WORLD_AGENTS];
  bool service; /* the agents serve "portal", else the model "m" */
  bool leaving[WORLD_AGENTS];
  bool unlisted[WORLD_AGENTS];
  bool list_down;
  uint32_t agents;
  uint32_t cut;
  bool stopped;
};

/* One caller's request and what it got.  */
struct caller
{
  struct world *w;
  struct wy_http_call *call;
  GString *body;
  char *request_id;
  char *retry_after;
  int status;
  int err;
  bool done;
};

/* Start a world of N agents.  */
void world_start (struct world *w, uint32_t n, bool service);
/* The same with a line of settings added.  */
void world_start_with (struct world *w, uint32_t n, bool service,
                       const char *settings);
void world_run (struct world *w, bool (*until) (void *ctx), void *ctx);
void world_wait_ms (struct world *w, uint32_t ms);
void world_until_ready (struct world *w);
void world_end (struct world *w);
uint64_t world_events (struct world *w, const char *event);

void call_start (struct caller *c, struct world *w, const char *method,
                 const char *path, const struct wy_http_header_field *headers,
                 size_t n, const char *body);
bool call_done (void *caller);
void call_wait (struct caller *c);
void call_free (struct caller *c);
bool call_says (const struct caller *c, const char *text);

#endif
