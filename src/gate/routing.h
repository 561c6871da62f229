/* Routing of callers' requests: the service for a host and path, and how its
   requests may be handled.  */
#ifndef WY_GATE_ROUTING_H
#define WY_GATE_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "orgs/orgs.h"

enum wy_route_kind
{
  WY_ROUTE_IDEMPOTENT,     /* may run more than once */
  WY_ROUTE_NON_IDEMPOTENT, /* runs at most once per attempt of the caller */
  WY_ROUTE_STREAM, /* server-sent events; non-idempotent unless resumable */
  WY_ROUTE_JOB     /* many requests submitted at once */
};

struct wy_traffic_split
{
  char *service;
  uint32_t weight;
};

struct wy_route
{
  char *name;
  char *host;
  char *prefix;
  enum wy_route_kind kind;
  uint32_t timeout_ms;        /* 0: none */
  uint32_t target_latency_ms; /* 0: none */
  uint32_t priority;          /* 0 is the highest */
  uint32_t attempts; /* replicas that may run one request of a caller */
  bool resumable;
  bool single_version;
  bool is_public;              /* needs no key */
  uint32_t retention_ms;       /* jobs: unfinished items are then given up */
  uint32_t result_deadline_ms; /* jobs: results are due after this time */
  GArray *splits;              /* struct wy_traffic_split, at least one */
};

struct wy_service
{
  char *name;
  uint32_t connection_limit; /* of one replica, over all entries; 0: none */
  uint32_t slots;            /* of one replica; 0: not known */
  bool is_autoscaled;        /* the duties adjust the number of replicas */
  uint32_t replicas_min;     /* in each availability zone */
  uint32_t replicas_max;
  uint32_t boot_ms;  /* from the order to the first request served */
  GPtrArray *models; /* char * */
};

struct wy_routing
{
  int64_t version;
  uint32_t header_limit_bytes;
  uint32_t body_limit_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
  GPtrArray *routes;    /* struct wy_route, longest prefix first */
  GPtrArray *services;  /* struct wy_service */
  struct wy_orgs *orgs; /* NULL: callers need no keys */
};

struct wy_routing *wy_routing_new (void);
void wy_routing_free (struct wy_routing *r);
struct wy_route *wy_routing_add_route (struct wy_routing *r);
struct wy_service *wy_routing_add_service (struct wy_routing *r);
void wy_routing_sort (struct wy_routing *r);
const struct wy_route *wy_routing_match (const struct wy_routing *r,
                                         const char *host, const char *path);
const struct wy_service *wy_routing_service (const struct wy_routing *r,
                                             const char *name);
bool wy_routing_has_public_jobs (const struct wy_routing *r, const char *host);
bool wy_routing_has_autoscaled (const struct wy_routing *r);
const char *wy_route_pick_service (const struct wy_route *r, uint32_t random);

#endif
