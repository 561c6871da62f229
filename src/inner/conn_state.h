/* State of a connection; private to src/inner.  */
#ifndef WY_INNER_CONN_STATE_H
#define WY_INNER_CONN_STATE_H

#include "inner/conn.h"

#define WY_INNER_PROTOCOL 1

enum wy_conn_state
{
  WY_CONN_CONNECTING,
  WY_CONN_HELLO,     /* listener: waits for HELLO */
  WY_CONN_CHALLENGE, /* dialer: waits for CHALLENGE */
  WY_CONN_PROOF,     /* listener: waits for PROOF */
  WY_CONN_WELCOME,   /* dialer: waits for WELCOME */
  WY_CONN_READY,
  WY_CONN_CLOSED
};

struct wy_conn
{
  uv_tcp_t tcp; /* must stay first */
  uv_timer_t timer;
  uv_prepare_t flush;
  uv_connect_t connect;
  const struct wy_inner_identity *identity;
  struct wy_conn_events events;
  struct wy_listener *listener; /* NULL: this side dialed */
  GList listener_link;          /* while it is not authenticated */
  bool authenticated;           /* or closing */
  enum wy_conn_state state;
  int err;
  uint32_t handles_open;
  GByteArray *in;
  GByteArray *out; /* not yet passed to the socket */
  size_t writing_bytes;
  struct wy_frame_arena *arena;

  /* Identity of the peer.  */
  char *process;
  char *incarnation;
  char *availability_zone;

  /* Handshake.  */
  uint8_t nonce[WY_NONCE_SIZE_BYTES];
  uint8_t peer_nonce[WY_NONCE_SIZE_BYTES];

  /* Heartbeat; times are monotonic.  */
  int64_t started_ms;     /* start of the handshake */
  int64_t oldest_ping_ms; /* oldest PING without a PONG; 0: none */
  int64_t last_ping_ms;
  int64_t last_tick_ms;
  uint64_t seq;
  bool load_sent; /* last_load is valid */
  struct wy_target_load last_load;
  int64_t last_revision; /* of the configuration, last sent to the peer */
};

void wy_conn_init (struct wy_conn *c, const struct wy_inner_identity *identity,
                   enum wy_conn_state state);
void wy_conn_start_reading (struct wy_conn *c);
void wy_conn_fail (struct wy_conn *c, int err);
void wy_conn_enqueue (struct wy_conn *c, const struct wy_frame *f);
void wy_conn_become_ready (struct wy_conn *c);
void wy_heartbeat_start (struct wy_conn *c);
void wy_heartbeat_send (struct wy_conn *c, enum wy_frame_kind kind,
                        uint64_t seq);
void wy_heartbeat_ping (struct wy_conn *c);
void wy_heartbeat_on_send (struct wy_conn *c);
void wy_heartbeat_on_pong (struct wy_conn *c, uint64_t seq);
void wy_listener_conn_closing (struct wy_conn *c);
void wy_listener_conn_closed (struct wy_conn *c);
void wy_listener_conn_authenticated (struct wy_conn *c);

void wy_handshake_hello (struct wy_conn *c);
int wy_handshake_frame (struct wy_conn *c, const struct wy_frame *f);

#endif
