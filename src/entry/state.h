/* Internal state of an entry.  */
#ifndef WY_ENTRY_STATE_H
#define WY_ENTRY_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>
#include <xxhash.h>

#include "base/id.h"
#include "base/rng.h"
#include "config/feed.h"
#include "decide/placement.h"
#include "decide/retry.h"
#include "decide/suspect.h"
#include "entry/entry.h"
#include "entry/settings.h"
#include "h1/overload.h"
#include "http/client.h"
#include "http/server.h"
#include "inner/conn.h"
#include "trace/metrics.h"
#include "trace/trace.h"

#define WY_ENTRY_KEY_LIMIT_BYTES 128
#define WY_ENTRY_HEADERS_MAX 128

/* Why a request failed, as reported to callers.  */
enum wy_entry_reason
{
  WY_REASON_BUSY,
  WY_REASON_LEAVING,
  WY_REASON_SUSPECT,
  WY_REASON_NOT_HOME,
  WY_REASON_TOO_OLD,
  WY_REASON_TOO_NEW,
  WY_REASON_UNKNOWN_NAME,
  WY_REASON_BAD_REQUEST,
  WY_REASON_FULL,
  WY_REASON_NO_CONFIG,
  WY_REASON_VERSION,
  WY_REASON_LOST,
  WY_REASON_NO_TARGET,
  WY_REASON_DEADLINE,
  WY_REASON_CRASHED,
  WY_REASON_FAILED,
  WY_REASON_CANCELLED,
  WY_REASON_HOME_AWAY,
  WY_REASON_STOPPING,
  WY_REASON_KEY_REUSED,
  WY_REASON_NO_TOKEN,
  WY_REASON_FORBIDDEN,
  WY_REASON_NOT_FOUND,
  WY_REASON_TOO_MANY_HEADERS,
  WY_REASON_TOO_MANY_REQUESTS,
  WY_REASON_COUNT
};

/* The targets of one model or service.  */
struct wy_pool
{
  char *name;
  bool is_model;
  struct wy_placement *placement;
  GPtrArray *peers; /* by slot of placement; NULL: free */
};

/* A target and the connection to its agent.  */
struct wy_peer
{
  struct wy_entry *entry;
  char *id;
  char *host;
  char *availability_zone;
  struct wy_pool *pool;
  struct wy_conn *conn;
  char *incarnation;
  uint64_t incarnation_hash;
  char *weights_source; /* host:port where its agent serves weights */
  int64_t next_dial_ms;
  int64_t disconnected_since_ms; /* monotonic; 0: connected */
  int64_t config_revision;       /* as the agent reported last */
  int64_t config_sent_revision;
  int64_t config_resend_ms;
  struct wy_target_load load;
  GQueue requests;        /* struct wy_request, by peer_link */
  GQueue pending_cancels; /* char *, ids to cancel once it is connected */
  uint32_t failed_dials;  /* consecutive failed dials */
  uint32_t az;
  int slot; /* in the pool's placement; -1: none */
  uint16_t port;
  bool has_load;
  bool ready;
  bool listed; /* in the last instance list */
  bool list_leaving;
  bool reported_leaving; /* by this incarnation */
  bool keep_connected;
  bool in_subset;   /* gets work that any target may run */
  bool leaving;     /* reported, listed as leaving, or unlisted */
  bool target_down; /* the target is down while its agent runs */
};

struct wy_request;

/* Receiver of a request's response.  The request is freed after done or
   rejected returns.  */
struct wy_sink
{
  /* The response head has arrived; may set streams.  NULL: not of
     interest.  */
  void (*head) (struct wy_sink *s, struct wy_request *r);
  void (*data) (struct wy_sink *s, struct wy_request *r, const char *p,
                size_t n);
  /* The response is complete.  */
  void (*done) (struct wy_sink *s, struct wy_request *r);
  /* The request failed; RAN is what is known of its execution.  */
  void (*rejected) (struct wy_sink *s, struct wy_request *r, enum wy_ran ran,
                    enum wy_entry_reason reason, uint32_t retry_after_ms);
  bool streams;
};

/* A request in progress.  It is not bound to a connection.  */
struct wy_request
{
  struct wy_entry *entry;
  char *id;
  char *key; /* the caller's, or "" */
  char *name;
  struct wy_pool *pool;
  GPtrArray *sinks; /* struct wy_sink */
  GList open_link;

  /* The request.  */
  int64_t issued_ms;
  int64_t received_us;
  int64_t deadline_mono_ms;
  uint64_t fingerprint;
  uint64_t body_hash;
  uint64_t prefix;
  int64_t min_version;
  char *trainer;
  char *method;
  char *path;
  GString *body;
  GPtrArray *headers; /* char *, names and values in turn */
  enum wy_request_class request_class;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t predicted_tokens;
  uint32_t worth_milli;

  /* Its current attempt.  */
  uint32_t attempt;
  struct wy_peer *peer;
  GList peer_link;
  int64_t disconnected_since_ms;  /* the peer; monotonic, 0: connected */
  uint64_t submitted_incarnation; /* of the peer that SUBMIT went to */
  uint32_t slot;                  /* in the placement; valid while placed */
  uint32_t n_tried;
  uint32_t tried[WY_PLACEMENT_TRIED_MAX];

  /* The response, as far as received.  */
  char *run;
  GPtrArray *response_headers; /* char *, names and values in turn */
  GString *response;
  uint64_t offset_bytes;
  uint64_t gap_offset_bytes;
  int64_t latency_window_start_us; /* see token_latency.c */
  int64_t last_chunk_us;
  XXH64_state_t *digest;
  uint64_t sent_digest; /* of the body built for the caller; 0: the run's */
  char *finish_reason;
  struct wy_segment *segments;
  size_t n_segments;
  uint32_t tokens;
  uint32_t status;
  uint32_t latency_window_newlines;

  bool non_idempotent;
  bool suspect;
  bool cancelled; /* by yard or slow caller; the next sweep ends it */
  bool placed;
  bool sent;         /* SUBMIT was sent to peer */
  bool may_have_run; /* an earlier attempt may have run */
  bool head_received;
  bool response_begun; /* the head was sent to a caller */
  bool keep_response;  /* buffer the complete response */
  bool gap_requested;
  void *issue_lookup; /* pending lookup, see issue_times.c */
};

struct wy_order
{
  struct wy_entry *entry;
  char *id;
  char *target;
  void (*on_done) (void *ctx, int result, int64_t version);
  void *ctx;
  int64_t expires_ms;
};

struct wy_entry_counters
{
  uint64_t *received;
  uint64_t *answered;
  uint64_t *refused[3]; /* by enum wy_ran */
  uint64_t *broken;
  uint64_t *abandoned;
  uint64_t *retries;
  uint64_t *resumed;
  uint64_t *dials;
  uint64_t *chunks_dropped;
  uint64_t *list_failed;
  uint64_t *malformed; /* responses */
  uint64_t *crashes;
  int64_t *open;
  int64_t *connections;
  uint64_t *gave_way;
  int64_t *memory_bytes;
  int64_t *unread_pauses;
  int64_t *turns_cut;
  int64_t *accepts_deferred;
  int64_t *accepts_failed;
  int64_t *config_revision;
  int64_t *peers_connected;
  struct wy_hist *latency_us;
};

struct wy_entry
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const struct wy_entry_settings *s;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_entry_counters counters;
  struct wy_memory_account memory; /* of callers' connections */
  struct wy_h1_overload *overload;
  struct wy_http_server *http;
  struct wy_http_client *client;
  struct wy_inner_key keys[2];
  struct wy_inner_identity identity;
  char *list_host;
  char *list_etag; /* of the last list applied; NULL: none */
  uint32_t entries_listed;
  uint16_t list_port;

  GHashTable *peers; /* id -> struct wy_peer */
  GHashTable *pools; /* name -> struct wy_pool */
  GPtrArray *zones;  /* char *; the index is the number of the zone */
  GHashTable *requests;
  GQueue open; /* struct wy_request, by open_link */
  GHashTable *orders;
  GQueue deferred_acks; /* struct deferred_ack, by due time */
  struct wy_outcomes *outcomes;
  GQueue pending_starts; /* samples to open in the next loop iteration */
  uv_timer_t start_timer;
  struct wy_rng rng;
  struct wy_retry_budget budget;
  struct wy_suspects suspects;

  struct wy_config_feed *feed;
  struct wy_store *store;             /* may be NULL */
  struct wy_issue_times *issue_times; /* NULL: no store */
  struct wy_suspect_rows *suspect_rows;
  const struct wy_document *document; /* NULL: none known yet */

  bool list_known;
  bool list_failing;
  int64_t list_received_ms;
  int64_t list_as_of_ms;
  uv_timer_t list_timer;
  struct wy_http_call *list_call;
  uv_timer_t sweep_timer;

  bool ready_announced;
  uint32_t requests_cut;
  bool stopping;
  int64_t stop_deadline_ms;
  bool stopped;
  void (*on_stopped) (void *ctx, uint32_t cut);
  void *stopped_ctx;

  struct wy_entry_hooks hooks;
};

#endif
