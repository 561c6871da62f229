/* Internal state of the proxy: a request in progress and its attempts.  */
#ifndef WY_GATE_PROXY_STATE_H
#define WY_GATE_PROXY_STATE_H

#include "decide/stream_runs.h"
#include "gate/proxy.h"
#include "gate/response.h"
#include "gate/sse.h"
#include "gate/suspect_peers.h"
#include "h1/read_pause.h"
#include "platform/request_wire.h"

/* Reason for rejecting a request that is suspected of crashing targets.  */
#define WY_PROXY_REASON_CRASHES_TARGETS "crashes_targets"
/* Reason for rejecting a request under which one target has crashed, since an
   equal one is running.  */
#define WY_PROXY_REASON_SUSPECT "suspect"
/* Reason for rejecting a request that can't be served in its time.  */
#define WY_PROXY_REASON_NO_TIME "no_time"
/* Reason for rejecting a request for which there is no memory.  */
#define WY_PROXY_REASON_MEMORY "memory"

enum
{
  WY_PROXY_ATTEMPTS_MAX = 2 /* at the same time: the first and its hedge */
};

struct wy_proxy_attempt
{
  struct wy_proxy_request *p;
  struct wy_target *target; /* NULL: not in use */
  struct wy_h1_call *call;
  struct wy_read_source source;
  struct wy_response *response; /* NULL: its head has not arrived */
  struct wy_response_info info;
  uint64_t incarnation;        /* of the target */
  struct wy_stream_run run;    /* numbers the attempts of any request */
  struct wy_sse_parser events; /* of a stream */
  uint64_t events_received;    /* with those that are not passed on */
  int64_t started_ms;
  int64_t last_received_ms;
  bool invalid;      /* the response must not be passed on */
  bool out_of_order; /* an event can't be the next one of the stream */
  bool has_length;   /* the response states where it ends */
  bool not_run;      /* the target states that it did not run the request */
};

/* Whether a request may be sent to a target.  */
enum wy_proxy_go
{
  WY_PROXY_RUN,
  WY_PROXY_WAIT,
  WY_PROXY_REJECT /* for its reject_reason */
};

struct wy_proxy_request
{
  struct wy_gate_env *env;
  struct wy_h1_request *request;
  GList link; /* in env->proxied */
  uv_timer_t timer;
  enum wy_route_kind kind;
  bool ended;
  bool has_orgs;
  char *id;
  char *route;
  char *service;
  char *organisation;   /* of the caller; NULL: none */
  int64_t usage_window; /* in which it is counted; 0: not counted */
  int64_t config_version;
  int64_t started_ms;
  int64_t deadline_ms;     /* of the response */
  int64_t caller_until_ms; /* when the caller times out; 0: not known */
  enum wy_return returned; /* whether the caller was rejected before */
  uint32_t hedge_delay_ms;
  uint32_t attempts;
  uint32_t attempts_left; /* an attempt that has not run isn't counted */
  uint32_t counted_bytes; /* in the memory account */
  uint32_t sends;         /* all attempts so far */
  uint32_t capacity_retries;
  uint64_t fingerprint;      /* 0: not computed */
  struct wy_permit *permit;  /* to run though suspect; NULL: none */
  int64_t waits_since_ms;    /* for an equal request; 0: it doesn't */
  const char *reject_reason; /* set with WY_PROXY_REJECT */
  struct wy_stream stream;   /* zero-initialized for other kinds of routes */
  bool may_have_run;
  bool has_deadline;    /* the caller or the route has set it */
  bool is_isolated;     /* equal requests wait for this one */
  int64_t hedge_due_ms; /* 0: none */
  int64_t retry_due_ms; /* 0: none */
  /* A replica's error, passed on if no attempt succeeds.  */
  struct wy_response *error_response;
  struct wy_proxy_attempt running[WY_PROXY_ATTEMPTS_MAX];
  GPtrArray *tried; /* struct wy_target, referenced */
};

void wy_proxy_init_source (struct wy_proxy_attempt *t);
void wy_proxy_pause_if_behind (struct wy_proxy_attempt *t,
                               const struct wy_h1_request *reader);
void wy_proxy_count_memory (struct wy_proxy_request *p);
void wy_proxy_uncount_memory (struct wy_proxy_request *p);
bool wy_proxy_is_paused (const struct wy_proxy_request *p);
bool wy_proxy_is_over_memory (const struct wy_proxy_request *p);
uint64_t wy_proxy_fingerprint (struct wy_proxy_request *p);
void wy_proxy_start_attempt (struct wy_proxy_request *p);
void wy_proxy_arm_timer (struct wy_proxy_request *p);
bool wy_proxy_is_repeatable (const struct wy_proxy_request *p);
bool wy_proxy_is_running (const struct wy_proxy_request *p);
void wy_proxy_send (struct wy_proxy_request *p, struct wy_target *g,
                    struct wy_proxy_attempt *t);
void wy_proxy_attempt_failed (struct wy_proxy_attempt *t,
                              enum wy_target_outcome outcome,
                              bool may_have_run, const char *reason);
void wy_proxy_note_cancelled (const struct wy_proxy_attempt *t);
void wy_proxy_log_started (const struct wy_proxy_attempt *t);
void wy_proxy_cancel_attempt (struct wy_proxy_attempt *t, const char *reason);
bool wy_proxy_is_blocked (struct wy_proxy_request *p);
enum wy_proxy_go wy_proxy_go (struct wy_proxy_request *p, bool is_hedge);
void wy_proxy_isolate (struct wy_proxy_request *p);
void wy_proxy_end_permit (struct wy_proxy_request *p);
void wy_proxy_end_isolation (struct wy_proxy_request *p);
void wy_proxy_clear_suspicion (struct wy_proxy_request *p);
void wy_proxy_usage_begin (struct wy_proxy_request *p);
void wy_proxy_usage_end (struct wy_proxy_request *p, bool has_run);
const char *wy_proxy_organisation (const struct wy_proxy_request *p);
int64_t wy_proxy_now_ms (const struct wy_proxy_request *p);
void wy_proxy_end_attempt (struct wy_proxy_attempt *t,
                           enum wy_target_outcome outcome);
void wy_proxy_free (struct wy_proxy_request *p, const char *reason);
void wy_proxy_on_hangup (void *ctx);
void wy_proxy_log_failed_attempt (const struct wy_proxy_attempt *t,
                                  const char *outcome);
void wy_proxy_fail (struct wy_proxy_request *p, bool timed_out,
                    const char *reason);
void wy_proxy_succeed (struct wy_proxy_request *p, struct wy_proxy_attempt *t);

#endif
