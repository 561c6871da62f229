/* Internals of the store's client, shared by client.c and call.c.  */
#ifndef WY_ROWS_CLIENT_STATE_H
#define WY_ROWS_CLIENT_STATE_H

#include <glib.h>

#include "base/rng.h"
#include "h1/client.h"
#include "platform/store_wire.h"
#include "rows/paths.h"
#include "rows/rows.h"

struct wy_rows_call
{
  struct wy_rows *store;
  struct wy_h1_call *http;
  enum wy_store_verb verb;
  const char *table; /* interned; for the statistics */
  char *target;
  const char *method;
  char *body; /* NULL: none */
  size_t body_size_bytes;
  GString *response_body;
  int status;
  struct sockaddr_in address; /* of the latest attempt */
  bool relayed;
  uint32_t attempts;
  int64_t started_ms;  /* of the latest attempt */
  int64_t transfer_ms; /* time allowed for its body */
  int64_t deadline_ms;
  wy_rows_cb *cb;
  void (*forward_cb) (void *ctx, int status, const char *body, size_t n);
  void *ctx;
};

struct wy_rows
{
  size_t object_bytes; /* limit of an object */
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_h1_client *http;
  struct wy_memory_account *memory;
  struct wy_paths paths;
  uv_timer_t sweep;
  GQueue calls;
  int64_t last_response_ms; /* on any path */
  int64_t clock_offset_ms;  /* the store's clock minus ours */
  int64_t max_offset_ms;    /* in the current window */
  int64_t offset_window_start_ms;
  bool has_store_clock;
  struct wy_rng rng;
  struct wy_rows_stats stats;
};

struct wy_rows_call *wy_rows_call_new (struct wy_rows *s,
                                       enum wy_store_verb verb,
                                       const char *table, char *target,
                                       wy_rows_cb *cb, void *ctx);
void wy_rows_call_start (struct wy_rows_call *k, const void *body, size_t n);
void wy_rows_call_free (struct wy_rows_call *k);

#endif
