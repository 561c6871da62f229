/* Internals of the server: one connection, and the shared state.  */
#ifndef WY_H1_SERVER_STATE_H
#define WY_H1_SERVER_STATE_H

#include <http_parser.h>

#include "h1/server.h"

enum
{
  WY_H1_READ_SIZE_BYTES = 65536,
  /* Larger buffers are freed when a connection becomes idle, which would
     otherwise keep the size of its largest request.  */
  WY_H1_KEPT_BYTES = 2048,
  /* Interval of checks of the timeouts.  */
  WY_H1_SWEEP_MS = 500
};

enum wy_h1_conn_state
{
  CONN_IDLE,
  CONN_HEAD,  /* reading a head */
  CONN_BODY,  /* reading a body */
  CONN_BUSY,  /* request with the handler */
  CONN_LINGER /* discarding input before the close */
};

/* What becomes of a pending connection.  */
enum wy_h1_accept
{
  ACCEPT_NOTHING, /* none is pending */
  ACCEPT_NEXT_TURN,
  ACCEPT_WHEN_ROOM
};

struct wy_h1_request
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_h1_server *server;
  http_parser parser;
  enum wy_h1_conn_state state;
  struct wy_h1_head head;
  GString *body;
  GByteArray *unparsed;       /* read, not yet parsed */
  size_t unparsed_size_bytes; /* of its allocation */
  size_t counted_bytes;       /* in the memory account, without the body */
  size_t body_counted_bytes;  /* in the memory account */
  uint64_t queued_bytes;      /* of responses, since the connection opened */
  uint64_t taken_bytes;       /* of these, by the reader, at the last sweep */
  size_t held_bytes;          /* memory of responses that are not yet sent */
  uint32_t silent_sweeps;     /* in which nothing of them was taken */
  uint64_t unread_since_ms;   /* loop time; 0: all responses are sent */
  uint64_t state_since_ms;    /* loop time */
  uint64_t turn;              /* in which it last took a request */
  uint32_t turn_requests;     /* taken in it */
  int64_t received_ms;
  void (*on_hangup) (void *ctx);
  void *hangup_ctx;
  int reject_status; /* response to a request over a limit; 0: none */
  bool reading;
  bool keep_alive;
  bool chunked; /* of the current response */
  bool parsing;
  bool closing;
  bool has_served;  /* a complete request was received */
  bool awaits_turn; /* to parse what is unparsed */
  GList link;
  GList turn_link;
};

struct wy_h1_server
{
  uv_tcp_t listener;
  uv_timer_t sweep;
  struct wy_h1_limits limits;
  uint16_t port;
  uint32_t handles; /* open or closing: listener, sweep, connections */
  bool listening;
  bool freed; /* when the last handle is closed */
  bool announce_close;
  const char *name;
  struct wy_h1_client_limits clients;
  struct wy_h1_overload *overload;
  bool owns_overload;
  enum wy_h1_accept accept;
  uint64_t accept_turn; /* in which one was last accepted */
  uint32_t accepted_in_turn;
  uint64_t body_room_turn; /* in which it was last made */
  uint64_t total_body_bytes;
  uint32_t active;
  GQueue connections;
  GList overload_link;
  struct wy_memory_account *memory;
  void (*on_request) (void *ctx, struct wy_h1_request *r);
  uint32_t (*on_no_memory) (void *ctx, const struct wy_h1_request *r);
  bool (*may_reject) (void *ctx, const struct wy_h1_request *r);
  void (*on_shed) (void *ctx, const struct wy_h1_request *r,
                   size_t unsent_bytes, uint32_t silent_ms);
  void *ctx;
  char read_buffer[WY_H1_READ_SIZE_BYTES];
};

void wy_h1_server_handle_closed (struct wy_h1_server *s);
void wy_h1_conn_accept (struct wy_h1_server *s);
void wy_h1_conn_close (struct wy_h1_request *c);
void wy_h1_conn_hang_up (struct wy_h1_request *c);
void wy_h1_conn_set_state (struct wy_h1_request *c,
                           enum wy_h1_conn_state state);
void wy_h1_conn_finish_exchange (struct wy_h1_request *c);
void wy_h1_conn_send (struct wy_h1_request *c, GString *head, const void *p,
                      size_t n, bool last);
void wy_h1_conn_reject (struct wy_h1_request *c, int status);
void wy_h1_conn_continue (struct wy_h1_request *c);

struct wy_client_view wy_h1_conn_view (const struct wy_h1_request *c);
void wy_h1_conn_count_held (struct wy_h1_request *c);
void wy_h1_conn_trim (struct wy_h1_request *c);
void wy_h1_conn_discard_body (struct wy_h1_request *c);

void wy_h1_on_connection (uv_stream_t *listener, int status);
bool wy_h1_accept_deferred (struct wy_h1_server *s);
void wy_h1_accept_if_room (struct wy_h1_server *s);
bool wy_h1_accept_takes_place (struct wy_h1_server *s);

bool wy_h1_turn_take (struct wy_h1_request *c);
void wy_h1_turn_request (struct wy_h1_overload *v);
void wy_h1_turn_await (struct wy_h1_request *c);
void wy_h1_turn_forget (struct wy_h1_request *c);
void wy_h1_yield_report (const struct wy_h1_request *c,
                         const struct wy_client_view *view,
                         enum wy_h1_yield_reason reason);
void wy_h1_overload_relieve (struct wy_h1_overload *v);
void wy_h1_overload_taken (struct wy_h1_overload *v);
void wy_h1_overload_make_body_room (struct wy_h1_request *c, uint64_t bytes);

#endif
