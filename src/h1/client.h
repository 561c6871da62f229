/* HTTP/1.1 client on libuv and http-parser with persistent connections.

   Targets charge for new connections and limit the number of open ones, so
   this client reuses them, and it tells the caller whether a failed request
   may have reached the peer.  */
#ifndef WY_H1_CLIENT_H
#define WY_H1_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>
#include <uv.h>

#include "h1/head.h"
#include "h1/response_check.h"
#include "h1/server.h"

struct wy_h1_client;
struct wy_h1_call;

struct wy_h1_response
{
  int status;
  const struct wy_h1_head *head;
  bool self_delimited; /* by a length or by chunks */
};

struct wy_h1_call_options
{
  struct sockaddr_in address;
  const char *method;
  const char *target; /* path and query */
  const char *id;     /* in logs; must outlive the call; NULL: none */
  const struct wy_h1_header *fields;
  size_t n_fields;
  const void *body;
  size_t body_size_bytes;
  bool has_body;       /* send a length even if it is 0 */
  bool new_connection; /* never on a reused one */
  bool connect_only;   /* send nothing: end once the connection is open */
  /* Limit of the response, head and body together; 0: of the head alone.  A
     peer in trouble may send bytes without end.  */
  size_t response_limit_bytes;
  /* The connection is open and the request is about to be sent.  */
  void (*on_sending) (void *ctx);
  /* The head of the final response, with a status from 200 to 599; the call
     may be cancelled within.  No data comes before it.  */
  void (*on_head) (void *ctx, const struct wy_h1_response *r);
  void (*on_data) (void *ctx, const char *p, size_t n);
  /* Called once, last, unless the call is cancelled.  ERR is 0 if the response
     is complete, else a wy_h1_error.  */
  void (*on_end) (void *ctx, int err);
  void *ctx;
};

/* A response that is malformed; its call is about to fail.  */
struct wy_h1_malformed
{
  const struct sockaddr_in *peer;
  const char *id; /* of the call; "": none */
  enum wy_h1_fault fault;
  bool after_head;       /* on_head has been called */
  size_t received_bytes; /* the fault is in the last read of them */
};

struct wy_h1_client_options
{
  uv_loop_t *loop;
  uint32_t connect_timeout_ms;
  uint32_t idle_timeout_ms;         /* if the peer announces none */
  uint32_t silence_timeout_ms;      /* of calls; 0: none */
  struct wy_memory_account *memory; /* NULL: none */
  /* A call to PEER is about to be ended for lack of memory: the peer has read
     nothing of its request for SILENT_MS.  May be NULL.  */
  void (*on_shed) (void *ctx, const struct sockaddr_in *peer,
                   size_t unsent_bytes, uint32_t silent_ms);
  /* A call is about to fail with WY_H1_EMALFORMED.  May be NULL.  */
  void (*on_malformed) (void *ctx, const struct wy_h1_malformed *m);
  void *ctx;
};

struct wy_h1_client_stats
{
  uint64_t opened;
  uint64_t reused;
  uint32_t open;
  uint32_t idle;
};

struct wy_h1_client *wy_h1_client_new (const struct wy_h1_client_options *o);
void wy_h1_client_close (struct wy_h1_client *c);
void wy_h1_client_free (struct wy_h1_client *c);
void wy_h1_client_stats (const struct wy_h1_client *c,
                         struct wy_h1_client_stats *out);
uint32_t wy_h1_client_idle_count (const struct wy_h1_client *c,
                                  const struct sockaddr_in *a);
void wy_h1_client_close_idle (struct wy_h1_client *c,
                              const struct sockaddr_in *a);

struct wy_h1_call *wy_h1_call_start (struct wy_h1_client *c,
                                     const struct wy_h1_call_options *o);
void wy_h1_call_cancel (struct wy_h1_call *call);
void wy_h1_call_pause (struct wy_h1_call *call);
void wy_h1_call_resume (struct wy_h1_call *call);
bool wy_h1_call_sent (const struct wy_h1_call *call);
bool wy_h1_call_was_refused (const struct wy_h1_call *call);

#endif
