/* An agent in the event loop of the test, with a target and entries that the
   test controls.  */
#ifndef WY_TESTS_AGENT_FIXTURE_H
#define WY_TESTS_AGENT_FIXTURE_H

#include <jansson.h>

#include "agent/agent.h"
#include "http/server.h"
#include "inner/conn.h"

#define FIXTURE_ENTRIES 2
#define FIXTURE_CALLS_MAX 64

struct fixture;

/* An entry as the agent sees it.  It records the frames of one request.  */
struct peer
{
  struct fixture *fixture;
  struct wy_inner_identity identity;
  struct wy_conn *conn;
  bool ready;
  uint32_t closed;
  uint32_t leaving;
  uint32_t accepted;
  uint32_t refused;
  enum wy_ran refused_ran;
  enum wy_refusal_reason reason;
  uint32_t retry_after_ms;
  uint32_t heads;
  uint32_t status;
  GByteArray *body;
  bool gap; /* a chunk did not continue the previous one */
  uint32_t ends;
  struct wy_frame_end end;
  char *end_run;
  struct wy_segment segments[8];
  uint32_t outcomes;
  struct wy_frame_end outcome;
  uint32_t ordered;
  struct wy_frame_ordered order;
  uint32_t pongs;
  struct wy_target_load load;
  bool has_load;
  int64_t config_revision; /* as last reported by the agent */
  uint32_t configs;
};

/* A call that the target received and has not responded to.  */
struct call
{
  struct wy_http_exchange *ex;
  char *path;
  char *run;
  char *request; /* Waxwing-Request-Id */
  char *body;
  uint32_t tokens;
  int64_t first_version; /* of the current segment */
  uint32_t segment_from;
  GString *segments;
  bool gone; /* the agent closed the connection */
};

struct fixture
{
  uv_loop_t loop;
  struct wy_agent_settings s;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_agent *agent;
  struct peer entry[FIXTURE_ENTRIES];
  bool stopped;
  uint32_t cut; /* requests aborted by the stop */
  uv_timer_t guard;
  uv_check_t check;
  bool (*done) (struct fixture *w);

  /* The target.  */
  struct wy_http_server *target;
  bool load_unavailable; /* requests for its load fail */
  const char *incarnation;
  int64_t version;
  int64_t staged;
  int64_t reported_version; /* in outdated load reports; 0: none */
  int64_t highest_fence;    /* of orders; 0: all are accepted */
  bool fail_order;
  struct call calls[FIXTURE_CALLS_MAX];
  uint32_t n_calls;
  GString *control_paths; /* of control calls, each followed by " " */
  char *last_order;
};

void agent_fixture_init (struct fixture *w, enum wy_target_kind kind);
void agent_fixture_start (struct fixture *w);
void agent_fixture_run_until (struct fixture *w,
                              bool (*done) (struct fixture *w));
void agent_fixture_run_ms (struct fixture *w, uint32_t ms);
bool agent_fixture_entries_ready (struct fixture *w);
void agent_fixture_connect (struct fixture *w, uint32_t i);
void agent_fixture_disconnect (struct fixture *w, uint32_t i);
struct wy_frame_submit agent_fixture_submit_model (const char *id);
struct wy_frame_submit agent_fixture_submit_service (struct fixture *w,
                                                     const char *id,
                                                     bool non_idempotent);
void agent_fixture_send_submit (struct fixture *w, uint32_t i,
                                const struct wy_frame_submit *s);
void agent_fixture_send_frame (struct fixture *w, uint32_t i,
                               enum wy_frame_kind kind, const char *id,
                               const char *run, uint64_t offset_bytes);
void agent_fixture_send_order (struct fixture *w, uint32_t i,
                               const char *order, enum wy_order_kind kind,
                               int64_t fence, int64_t version);
void agent_fixture_send_config (struct fixture *w, uint32_t i,
                                int64_t revision, const char *members);
void agent_fixture_start_target (struct fixture *w);
void agent_fixture_send_tokens (struct fixture *w, uint32_t call, uint32_t n);
void agent_fixture_send_end (struct fixture *w, uint32_t call);
json_t *agent_fixture_events (struct fixture *w, const char *event);

#endif
