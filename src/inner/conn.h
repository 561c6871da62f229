/* Connections between the processes of the system: framed, authenticated, with
   heartbeats in both directions.  */
#ifndef WY_INNER_CONN_H
#define WY_INNER_CONN_H

#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "inner/frame.h"

struct wy_conn;
struct wy_listener;
struct wy_trace;

/* A shared key.  Two may be valid at once, so that keys can be rotated without
   an interruption; the first is used to authenticate, all are accepted.  */
struct wy_inner_key
{
  uint32_t number;
  const char *secret;
};

/* Identity of this process, and the limits of its connections.  */
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
  uint32_t heartbeat_ms;     /* interval between PINGs */
  uint32_t silence_limit_ms; /* a PING unanswered for longer: closed */
  size_t send_limit_bytes;   /* more unsent bytes: closed */
  /* Timestamps of the timeline, carried by every frame, so that effects of a
     frame sort after its cause; may be NULL.  */
  uint64_t (*timestamp) (struct wy_trace *t);
  void (*observe) (struct wy_trace *t, uint64_t timestamp);
  struct wy_trace *trace;
};

struct wy_conn_events
{
  /* The peer has authenticated.  The strings are valid as long as the
     connection exists.  */
  void (*on_ready) (void *ctx, struct wy_conn *c, const char *process,
                    const char *incarnation, const char *availability_zone);
  /* A frame that isn't part of the handshake; valid during the call.  The
     connection itself answers a PING with a PONG filled by fill_ping, but
     still passes it on, since it carries the configuration revision and a
     timestamp.  */
  void (*on_frame) (void *ctx, struct wy_conn *c, const struct wy_frame *f);
  /* Called once, even if the connection never became ready; C is freed after
     it returns.  */
  void (*on_closed) (void *ctx, struct wy_conn *c, int err);
  /* Buffered output was written to the socket; may be NULL.  */
  void (*on_writable) (void *ctx, struct wy_conn *c);
  /* Whether a response is expected on the connection; if not, its heartbeat
     slows down.  NULL: always.  */
  bool (*is_busy) (void *ctx, struct wy_conn *c);
  /* Fill in the payload of the next PING or PONG; may be NULL.  */
  void (*fill_ping) (void *ctx, struct wy_conn *c, struct wy_frame_ping *p);
  void *ctx;
};

struct wy_listener_options
{
  const struct wy_inner_identity *identity; /* must outlive the listener */
  const char *host;
  uint16_t port; /* 0: any free port */
  /* Called for each accepted connection, before the handshake; returns the
     event handlers of the connection.  */
  struct wy_conn_events (*on_accept) (void *ctx, struct wy_conn *c);
  void *ctx;
  int *system_error; /* set to libuv's with WY_INNER_EBIND; may be NULL */
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
