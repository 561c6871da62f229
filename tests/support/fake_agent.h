/* A small agent that speaks the protocol between entries and agents,
   controlled by the test.  */
#ifndef WY_TEST_FAKE_AGENT_H
#define WY_TEST_FAKE_AGENT_H

#include <glib.h>

#include "inner/conn.h"

struct fake_agent;

/* One request at the agent.  */
struct fake_run
{
  char *id;
  char *run;
  GString *body; /* complete response body, sent or not */
  bool finished;
};

struct fake_agent
{
  struct wy_inner_identity identity;
  struct wy_listener *listener;
  struct wy_conn *conn; /* the latest */
  char *name;
  uint16_t port;
  GHashTable *runs; /* id -> struct fake_run */
  struct wy_target_load load;
  int64_t config_revision;
  /* Called for each SUBMIT; NULL: send the complete response at once.  */
  void (*on_submit) (struct fake_agent *a, const struct wy_frame *f);
  /* Called for each RESUME; NULL: send the rest at once.  */
  void (*on_resume) (struct fake_agent *a, const struct wy_frame *f);
  void (*on_query) (struct fake_agent *a, const struct wy_frame *f);
  void *test;
  uint32_t submits;
  uint32_t resumes;
  uint32_t cancels;
  uint32_t acks;
  uint32_t orders;
  uint32_t ready;
  struct wy_frame_submit last; /* fixed-size members of the last SUBMIT only */
  char *last_id;
  char *last_path;
  char *last_body;
};

void fake_agent_start (struct fake_agent *a, uv_loop_t *loop, const char *name,
                       const char *incarnation, uint16_t port);
void fake_agent_stop (struct fake_agent *a);
void fake_agent_free (struct fake_agent *a);
struct fake_run *fake_accept (struct fake_agent *a, const struct wy_frame *f,
                              const char *run, const char *body);
void fake_send_head (struct fake_agent *a, const struct fake_run *r,
                     int status, const char *type);
void fake_send_chunk (struct fake_agent *a, const struct fake_run *r,
                      size_t from, size_t to);
void fake_send_end (struct fake_agent *a, const struct fake_run *r,
                    enum wy_run_result result);
void fake_send_refused (struct fake_agent *a, const char *id, enum wy_ran ran,
                        enum wy_refusal_reason reason,
                        uint32_t retry_after_ms);
void fake_send_response (struct fake_agent *a, const struct wy_frame *f);
void fake_send_rest (struct fake_agent *a, const struct wy_frame *f);

/* The server-sent events of a completion of N tokens by RUN, as an engine
   sends them.  */
char *fake_event_stream (const char *run, int n);

#endif
