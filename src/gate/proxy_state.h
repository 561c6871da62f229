/* Inside of the pass-through: a request under way and its tries.  */
#ifndef WY_GATE_PROXY_STATE_H
#define WY_GATE_PROXY_STATE_H

#include "gate/response.h"
#include "gate/sse.h"
#include "gate/proxy.h"
#include "platform/request_wire.h"

/* Why a request is refused under which targets crashed.  */
#define WY_PROXY_CRASHES_TARGETS "crashes_targets"

enum
{
  WY_PROXY_TRIES_MAX = 2 /* at once */
};

struct wy_try
{
  struct wy_proxied *p;
  struct wy_target *target; /* NULL: free */
  struct wy_h1_call *call;
  struct wy_response *answer;
  struct wy_response_info info;
  int64_t started_ms;
  int64_t heard_ms;
  bool bad;
  bool not_run;
};

struct wy_proxied
{
  struct wy_gate_env *env;
  struct wy_h1_request *request;
  uv_timer_t timer;
  enum wy_route_kind kind;
  bool resumable;
  bool streaming; /* the answer has begun */
  bool ended;
  char *id;
  char *route;
  char *service;
  bool has_orgs;
  char *organisation;   /* that it runs for; NULL: none */
  int64_t usage_window; /* that it is counted in; 0: not counted */
  int64_t config_version;
  int64_t started_ms;
  int64_t deadline_ms; /* the caller must have an answer */
  bool has_deadline;
  uint32_t hedge_ms;
  uint32_t attempts;
  uint32_t attempts_left; /* runs */
  uint32_t sends;
  uint32_t rounds;
  uint64_t fingerprint; /* 0: not computed */
  int64_t after_event;
  bool may_have_run;
  int64_t hedge_due_ms;      /* 0: none */
  int64_t round_due_ms;      /* 0: none */
  struct wy_response *spare; /* a replica's failure, if nothing better comes */
  struct wy_try tries[WY_PROXY_TRIES_MAX];
  GPtrArray *tried; /* struct wy_target, held */
  struct wy_sse_parser events;
};

uint64_t wy_proxy_fingerprint (struct wy_proxied *p);
void wy_proxy_usage_sent (struct wy_proxied *p);
void wy_proxy_usage_settle (struct wy_proxied *p, bool begun);
const char *wy_proxy_organisation (const struct wy_proxied *p);
int64_t wy_proxy_now_ms (const struct wy_proxied *p);
void wy_proxy_end_try (struct wy_try *t, enum wy_target_outcome outcome);
void wy_proxy_finish (struct wy_proxied *p);
void wy_proxy_on_hangup (void *ctx);
void wy_proxy_log_try (const struct wy_try *t, const char *outcome);
void wy_proxy_give_up (struct wy_proxied *p, bool late, const char *reason);
void wy_proxy_succeed (struct wy_proxied *p, struct wy_try *t);

#endif
