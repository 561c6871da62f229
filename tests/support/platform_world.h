/* An entry's parts against stand-ins of the platform, on one loop.  */
#ifndef TESTS_PLATFORM_WORLD_H
#define TESTS_PLATFORM_WORLD_H

#include <stdbool.h>

#include <uv.h>

#include "gate/env.h"
#include "gate/members.h"
#include "jobs/jobs.h"
#include "standin/platform_replica.h"
#include "standin/platform_store.h"

enum
{
  PLATFORM_REPLICAS_MAX = 4
};

struct platform_world
{
  uv_loop_t loop;
  struct wy_platform_store *store;
  struct wy_platform_replica *replicas[PLATFORM_REPLICAS_MAX];
  uint32_t n_replicas;
  struct wy_metrics *metrics;
  struct wy_gate_env env;
  struct wy_h1_client *client; /* of callers */
  bool has_env;
};

/* The answer to a call made by a test.  */
struct platform_answer
{
  bool done;
  int err;
  int status;
  GString *body;
  char *stamp;
  char *retry_after;
  struct wy_h1_call *call;
};

void platform_world_init (struct platform_world *w);
void platform_world_free (struct platform_world *w);
void platform_world_add_env (struct platform_world *w, const char *node);
struct wy_platform_replica *
platform_world_add_replica (struct platform_world *w, const char *model,
                            uint32_t events);
struct wy_platform_replica *
platform_world_add_scorer (struct platform_world *w, const char *host);
void platform_world_set_routing (struct platform_world *w,
                                 enum wy_route_kind kind, uint32_t attempts);
bool platform_world_until (struct platform_world *w, bool (*cond) (void *ctx),
                           void *ctx);
void platform_world_run_ms (struct platform_world *w, int64_t ms);
struct platform_answer *platform_world_call (struct platform_world *w,
                                             uint16_t port, const char *method,
                                             const char *target,
                                             const struct wy_h1_header *fields,
                                             size_t n_fields,
                                             const char *body);
bool platform_answer_done (void *answer);
void platform_answer_free (struct platform_answer *a);
struct sockaddr_in platform_loopback (uint16_t port);
uint16_t platform_world_free_port (struct platform_world *w);

#endif
