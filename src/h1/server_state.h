/* Inside of the server: one connection, and what all share.  */
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
  CONN_HEAD,  /* some bytes of a head are in */
  CONN_BODY,  /* the head is in */
  CONN_BUSY,  /* the handler has the request */
  CONN_LINGER /* answered, reading on only to be able to close */
};

struct wy_h1_request
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_h1_server *server;
  http_parser parser;
  enum wy_h1_conn_state state;
  struct wy_h1_head head;
  GString *body;
  GByteArray *ahead; /* read, not yet parsed */
  uint64_t since_ms; /* loop time of the last change of state */
  int64_t received_ms;
  void (*on_hangup) (void *ctx);
  void *hangup_ctx;
  int refuse_status; /* not 0: the request broke a limit */
  bool reading;
  bool keep_alive;
  bool chunked; /* the answer under way */
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
  uint64_t held_bytes;
  uint32_t active;
  GQueue connections;
  void (*on_request) (void *ctx, struct wy_h1_request *r);
  void *ctx;
  char read_buffer[WY_H1_READ_SIZE_BYTES];
};

void wy_h1_conn_accept (struct wy_h1_server *s);
void wy_h1_conn_close (struct wy_h1_request *c);
void wy_h1_conn_hang_up (struct wy_h1_request *c);
void wy_h1_conn_set_state (struct wy_h1_request *c,
                           enum wy_h1_conn_state state);
void wy_h1_conn_end_exchange (struct wy_h1_request *c);
void wy_h1_conn_send (struct wy_h1_request *c, GString *head, const void *p,
                      size_t n, bool last);
void wy_h1_conn_refuse (struct wy_h1_request *c, int status);

#endif
