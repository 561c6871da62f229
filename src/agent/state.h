/* State of an agent; private to src/agent.  */
#ifndef WY_AGENT_STATE_H
#define WY_AGENT_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>
#include <xxhash.h>

#include "agent/agent.h"
#include "agent/at_most_once.h"
#include "agent/fence.h"
#include "agent/token_stream.h"
#include "base/id.h"
#include "config/feed.h"
#include "decide/queue.h"
#include "http/client.h"
#include "http/server.h"
#include "inner/conn.h"

/* Cached prompt prefixes that are reported to entries.  */
#define WY_AGENT_PREFIXES_MAX 1024
/* Retry delay for a target that is down, leaving or full: by then it has
   restarted, or connections and the instance list are up to date.  */
#define WY_AGENT_RETRY_MS 1000
/* Concurrent calls to a plain service if the settings give no number.  */
#define WY_AGENT_SERVICE_CALLS_MAX 16

enum wy_run_phase
{
  WY_PHASE_WAITING,
  WY_PHASE_RUNNING,
  WY_PHASE_ENDED
};

/* A connection from an entry.  */
struct wy_link
{
  struct wy_agent *agent;
  struct wy_conn *conn;
  char *peer; /* process and incarnation; NULL before authentication */
  uint64_t number;
  uint64_t last_pong_seq; /* sequence number of the last PONG */
  bool blocked;           /* sending waits until the connection is writable */
  GQueue attached;        /* struct wy_attachment, by link_link */
  int64_t config_resend_ms;
  GList link;
};

struct wy_run;

/* A connection that receives the output of a run.  */
struct wy_attachment
{
  struct wy_run *run;
  struct wy_link *link;
  uint64_t offset_bytes;
  bool head_sent;
  GList run_link;
  GList link_link;
};

/* One execution of a request, from its acceptance until its result is
   discarded.  */
struct wy_run
{
  struct wy_agent *agent;
  struct wy_queue_item item;
  char *id;
  char *method;
  char *path;
  GByteArray *body;
  GPtrArray *headers; /* char *; names and values alternate */
  struct wy_at_most_once_attempt at_most_once; /* non-idempotent only */
  uint64_t fingerprint;

  /* While running.  */
  struct wy_http_call *call;
  struct wy_token_stream tokens;
  char *target_inc;
  char *blob; /* exported state */
  int64_t last_received_ms;

  /* Result.  */
  GPtrArray *response_headers;
  GByteArray *output;
  XXH64_state_t *digest;
  char *finish;
  GArray *segments;

  GList list_link;     /* in open or ended of the agent */
  GQueue attached;     /* struct wy_attachment, by run_link */
  int64_t detached_ms; /* monotonic time when the last connection detached */
  int64_t ended_ms;

  enum wy_request_class request_class;
  uint32_t attempt;
  enum wy_run_phase phase;
  enum wy_run_result result;
  enum wy_ran ran;
  int status; /* 0: no response yet */
  uint32_t n_tokens;
  char run[WY_ID_SIZE_BYTES];
  bool is_model;
  bool non_idempotent;
  bool sent;      /* run.start is traced; the target may have received it */
  bool exporting; /* its KV memory is being exported */
  bool import_after_export;
  bool acked;
  bool may_have_run_before; /* the request may have run earlier */
};

enum wy_target_state
{
  WY_TARGET_UNKNOWN,
  WY_TARGET_UP,
  WY_TARGET_DOWN
};

/* What is known of the target.  */
struct wy_target
{
  enum wy_target_state state;
  char *incarnation;
  uint64_t starts; /* number of times it came up */
  int64_t version;
  int64_t staged;
  int64_t kv_used;
  int64_t kv_total;
  int64_t as_of_ms;
  int64_t ordered_ms; /* wall-clock time of the last order it executed */
  uint32_t running;
  bool polling;
  uint32_t failures; /* consecutive polls without a response */
  int64_t cache_seq;
  bool cache_polling;
  uint64_t prefixes[WY_AGENT_PREFIXES_MAX];
  uint32_t n_prefixes;
};

struct wy_agent_counters
{
  uint64_t *submitted;
  uint64_t *attached;   /* requests attached to an existing run */
  uint64_t *refused[3]; /* by enum wy_ran */
  uint64_t *started;
  uint64_t *ended[6]; /* by enum wy_run_result */
  uint64_t *resumed;
  uint64_t *dropped; /* discarded without acknowledgement */
  uint64_t *links_closed;
  uint64_t *links_bad;
  uint64_t *malformed_responses;
  uint64_t *paused;
  uint64_t *moved;
  uint64_t *target_restarts;
  uint64_t *unproven;
  uint64_t *orders;
  uint64_t *orders_stale;
  int64_t *runs;
  int64_t *retained_bytes;
  int64_t *links;
  int64_t *leaving;
  int64_t *target_up;
  int64_t *version;
  struct wy_hist *wait_ms;
};

struct wy_weight_relay;

struct wy_agent
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const struct wy_agent_settings *s;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_agent_counters n;
  void (*on_stopped) (void *ctx, uint32_t aborted);
  void *ctx;

  struct wy_inner_key keys[2];
  struct wy_inner_identity identity;
  struct wy_listener *listener;
  struct wy_http_server *http;
  struct wy_http_client *client;
  struct wy_weight_relay *weight_relay;
  struct wy_config_feed *feed;
  const struct wy_document *document;

  GQueue links;
  GQueue orders;
  uint64_t link_number;
  GHashTable *runs; /* struct wy_run by id */
  GQueue open;      /* runs that have not ended, by list_link */
  GQueue ended;     /* ended runs in the order they ended, by list_link */
  size_t retained_bytes;
  struct wy_queue queue;
  char *trainers[WY_QUEUE_TRAINERS_MAX];
  uint32_t completed_milli_per_s; /* smoothed rate at which runs end */
  uint64_t last_ended_total; /* number of ended runs at the last measurement */
  struct wy_at_most_once *once;
  struct wy_fences *fences;
  struct wy_target target;
  int64_t clock_offset_ms; /* wall-clock time minus monotonic time */

  bool leaving; /* accepts no new work, for any of the next three reasons */
  bool drain_ordered;
  bool drain_configured;
  bool stopping; /* ends when nothing is in progress */
  bool stopped;
  bool waiting_rejected; /* waiting requests can't start any more */
  bool ready_reported;
  int64_t stopping_ms;
  int64_t leaving_ms;
  uv_timer_t queue_timer;
  uv_timer_t sweep_timer;
  uv_timer_t poll_timer;
};

static inline int64_t
wy_agent_now_ms (const struct wy_agent *a)
{
  return wy_clock_mono_ms (a->clock);
}

#endif
