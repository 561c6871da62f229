/* Internals of the server: one connection, and the shared state.  */
#ifndef WY_H1_SERVER_STATE_H
#define WY_H1_SERVER_STATE_H

#include <http_parser.h>

#include "h1/server.h"

enum
{
  WY_H1_READ_SIZE_BYTES = 65536
};

enum wy_h1_conn_state
{
  CONN_IDLE,
  CONN_HEAD,  /* reading a head */
  CONN_BODY,  /* reading a body */
  CONN_BUSY,  /* request with the handler */
  CONN_LINGER /* discarding input before the close */
};

struct wy_h1_request
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_h1_server *server;
  http_parser parser;
  enum wy_h1_conn_state state;
  struct wy_h1_head head;
  GString *body;
  GByteArray *unparsed;          /* read, not yet parsed */
  size_t unparsed_counted_bytes; /* in the memory account */
  bool unparsed_is_large;        /* its allocation */
  uint64_t queued_bytes;   /* of responses, since the connection opened */
  uint64_t taken_bytes;    /* of these, by the reader, at the last sweep */
  size_t held_bytes;       /* memory of responses that are not yet sent */
  uint32_t silent_sweeps;  /* in which nothing of them was taken */
  uint64_t state_since_ms; /* loop time */
  int64_t received_ms;
  void (*on_hangup) (void *ctx);
  void *hangup_ctx;
  int reject_status; /* response to a request over a limit; 0: none */
  bool reading;
  bool keep_alive;
  bool chunked; /* of the current response */
  bool parsing;
  bool closing;
  GList link;
};

struct wy_h1_server
{
  uv_tcp_t listener;
  uv_timer_t sweep;
  struct wy_h1_limits limits;
  uint16_t port;
  bool listening;
  bool announce_close;
  uint64_t total_body_bytes;
  uint32_t active;
  GQueue connections;
  struct wy_memory_account *memory;
  void (*on_request) (void *ctx, struct wy_h1_request *r);
  uint32_t (*on_no_memory) (void *ctx, const struct wy_h1_request *r);
  bool (*may_reject) (void *ctx, const struct wy_h1_request *r);
  void (*on_shed) (void *ctx, const struct wy_h1_request *r,
                   size_t unsent_bytes, uint32_t silent_ms);
  void *ctx;
  char read_buffer[WY_H1_READ_SIZE_BYTES];
};

void wy_h1_conn_accept (struct wy_h1_server *s);
void wy_h1_conn_close (struct wy_h1_request *c);
void wy_h1_conn_start_reading (struct wy_h1_request *c);
void wy_h1_conn_hang_up (struct wy_h1_request *c);
void wy_h1_conn_set_state (struct wy_h1_request *c,
                           enum wy_h1_conn_state state);
void wy_h1_conn_finish_exchange (struct wy_h1_request *c);
void wy_h1_conn_send (struct wy_h1_request *c, GString *head, const void *p,
                      size_t n, bool last);
void wy_h1_conn_reject (struct wy_h1_request *c, int status);

#endif
