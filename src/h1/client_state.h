/* Internals of the client: a connection with its call, and the pool.  */
#ifndef WY_H1_CLIENT_STATE_H
#define WY_H1_CLIENT_STATE_H

#include <http_parser.h>

#include "h1/client.h"
#include "h1/response_check.h"

enum
{
  WY_H1_CLIENT_READ_SIZE_BYTES = 65536
};

/* A connection and the call on it, if any.  */
struct wy_h1_call
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_h1_client *client;
  struct wy_h1_peer *peer;
  struct wy_h1_response_check check;
  http_parser parser;
  struct wy_h1_head head;
  struct wy_h1_call_options o;
  GString *request; /* request not yet written, or NULL */
  uv_connect_t connect;
  uv_write_t write;
  uint64_t idle_until_ms;
  uint32_t keep_alive_ms;
  bool connected;
  bool connecting;
  bool failed; /* no connection can be opened */
  bool writing;
  bool sent;          /* bytes may have been sent */
  bool refused;       /* nothing listens at the peer's port */
  bool active;        /* a call is in progress */
  bool head_complete; /* response head received */
  bool self_delimited;
  bool complete; /* response received */
  bool no_reuse; /* close after this call */
  bool closing;
  bool paused;            /* the response is not read */
  uint32_t sweeps;        /* since the call started */
  uint32_t quiet_sweeps;  /* since anything was received, unless paused */
  size_t received_bytes;  /* of the response */
  size_t unsent_bytes;    /* of the request, at the last sweep */
  uint32_t silent_sweeps; /* in which nothing of them was taken */
  GList link;             /* in active_calls or the peer's idle list */
};

struct wy_h1_peer
{
  struct sockaddr_in address;
  GQueue idle;
  uint32_t open;
};

struct wy_h1_client
{
  uv_loop_t *loop;
  uint32_t connect_timeout_ms;
  uint32_t idle_timeout_ms;
  uint32_t silence_timeout_ms;
  uint32_t handles; /* not closed yet: the connections and the timer */
  bool is_freed;    /* after the last handle */
  uv_timer_t sweep;
  uint32_t sweeps;
  GHashTable *peers;   /* struct wy_h1_peer by address */
  GQueue active_calls; /* struct wy_h1_call in use, oldest first */
  struct wy_h1_client_stats stats;
  struct wy_memory_account *memory;
  void (*on_shed) (void *ctx, const struct sockaddr_in *peer,
                   size_t unsent_bytes, uint32_t silent_ms);
  void (*on_malformed) (void *ctx, const struct wy_h1_malformed *m);
  void *ctx;
  char read_buffer[WY_H1_CLIENT_READ_SIZE_BYTES];
};

void wy_h1_client_release (struct wy_h1_client *c);
void wy_h1_call_open (struct wy_h1_call *k);
void wy_h1_call_send (struct wy_h1_call *k);
void wy_h1_call_start_reading (struct wy_h1_call *k);
void wy_h1_call_close (struct wy_h1_call *k);
void wy_h1_call_fail (struct wy_h1_call *k, int err);

#endif
