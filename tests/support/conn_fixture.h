/* Both ends of a connection in one event loop, optionally with a relay between
   them that can drop one direction, or with a raw socket as the peer.  */
#ifndef WY_TESTS_CONN_FIXTURE_H
#define WY_TESTS_CONN_FIXTURE_H

#include "inner/conn.h"

enum
{
  HEARTBEAT_MS = 10,
  SILENCE_LIMIT_MS = 80,
  HANDSHAKE_TIMEOUT_MS = 60,
  SEND_LIMIT_BYTES = 1 << 20,
  GUARD_MS = 10000
};

extern const struct wy_inner_key conn_keys_old[1];

struct endpoint
{
  struct wy_inner_identity identity;
  struct wy_conn *conn;
  uint32_t ready;
  uint32_t closed;
  int err;
  uint32_t frames;
  uint32_t pings;
  uint64_t chunk_bytes;
  char *peer;
  bool idle; /* is_busy returns false */
};

struct relay
{
  uv_tcp_t listener;
  uv_tcp_t near; /* connection from the dialer */
  uv_tcp_t far;
  uv_connect_t connect;
  uint16_t port;
  bool drop_to_listener;
  bool drop_to_dialer;
  GByteArray *seen; /* bytes sent by the dialer */
};

struct fixture
{
  uv_loop_t loop;
  struct wy_listener *listener;
  struct endpoint a; /* the dialer */
  struct endpoint b; /* the listener */
  uv_timer_t guard;
  bool (*done) (struct fixture *w);
  struct relay relay;
};

/* Raw socket that writes given bytes and records what it receives.  */
struct raw
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  GByteArray *bytes;
  GByteArray *got;
};

void conn_check_done (void);
struct wy_conn_events conn_events_of (struct endpoint *e);
void conn_end_init (struct fixture *w, struct endpoint *e, const char *process,
                    const struct wy_inner_key *keys, size_t n);
void conn_fixture_init (struct fixture *w);
void conn_dial (struct fixture *w, uint16_t port);
void conn_run_until (struct fixture *w, bool (*done) (struct fixture *w));
bool conn_both_ready (struct fixture *w);
bool conn_both_closed (struct fixture *w);
bool conn_a_closed (struct fixture *w);
bool conn_b_closed (struct fixture *w);
void conn_raw_dial (struct fixture *w, struct raw *r, const void *p, size_t n);
void conn_relay_init (struct fixture *w);

#endif
