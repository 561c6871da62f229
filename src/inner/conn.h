/* Connections between the processes of the system: framed, authenticated,
   with heartbeats both ways.  */
#ifndef WY_INNER_CONN_H
#define WY_INNER_CONN_H

#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "inner/frame.h"

struct wy_conn;
struct wy_listener;
struct wy_trace;

/* One shared key.  Two may be valid at once, so that keys can be changed
   without a cut; the first is used to prove, all are accepted.  */
struct wy_inner_key
{
  uint32_t number;
  const char *secret;
};

/* Who this process is, and the limits of its connections.  */
struct wy_inner_identity
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const char *process;
  const char *incarnation;
  const char *availability_zone;
  const struct wy_inner_key *keys;
  size_t n_keys;
  uint32_t handshake_timeout_ms;
  uint32_t heartbeat_ms;     /* between two PINGs */
  uint32_t silence_limit_ms; /* nothing received for so long: closed */
  size_t send_limit_bytes;   /* unsent bytes held before the peer is cut */
  /* Stamps of the timeline, carried by each frame, so that what a frame
     causes sorts after what caused the frame; may be NULL.  */
  uint64_t (*timestamp) (struct wy_trace *t);
  void (*observe) (struct wy_trace *t, uint64_t stamp);
  struct wy_trace *trace;
};

struct wy_conn_events
{
  /* The peer proved its key.  The strings live as long as the connection. */
  void (*on_ready) (void *ctx, struct wy_conn *c, const char *process,
                    const char *incarnation, const char *availability_zone);
  /* A frame other than those of the handshake; valid during the call.  PING
     is answered by the connection itself with what fill_pong gives, but is
     still passed on, since it carries revision and stamp.  */
  void (*on_frame) (void *ctx, struct wy_conn *c, const struct wy_frame *f);
  /* Comes once, also when the connection never got ready; C is freed after
     it returns.  */
  void (*on_closed) (void *ctx, struct wy_conn *c, int err);
  /* Bytes that waited have gone to the socket; may be NULL.  */
  void (*on_drained) (void *ctx, struct wy_conn *c);
  /* Tells whether something is awaited on the connection; while not, its
     heartbeat slows down.  NULL: always.  */
  bool (*is_busy) (void *ctx, struct wy_conn *c);
  /* Fill in what the next PING or PONG tells; may be NULL.  */
  void (*fill_ping) (void *ctx, struct wy_conn *c, struct wy_frame_ping *p);
  void *ctx;
};

struct wy_listener_options
{
  const struct wy_inner_identity *identity; /* must outlive the listener */
  const char *host;
  uint16_t port; /* 0: any */
  /* Called for each accepted connection, before the handshake; returns the
     events of the connection.  */
  struct wy_conn_events (*on_accept) (void *ctx, struct wy_conn *c);
  void *ctx;
};

int wy_listener_new (struct wy_listener **out,
                     const struct wy_listener_options *o);
uint16_t wy_listener_port (const struct wy_listener *l);
void wy_listener_close (struct wy_listener *l);

struct wy_conn *wy_conn_dial (const struct wy_inner_identity *identity,
                              const char *host, uint16_t port,
                              const struct wy_conn_events *events);
int wy_conn_send (struct wy_conn *c, const struct wy_frame *f);
void wy_conn_close (struct wy_conn *c);
bool wy_conn_is_ready (const struct wy_conn *c);
void wy_conn_ping (struct wy_conn *c);
uint64_t wy_conn_ping_seq (const struct wy_conn *c);
size_t wy_conn_unsent_bytes (const struct wy_conn *c);

#endif
