/* HTTP/1.1 server on libuv and http-parser.

   While a request is handled the server reads on from its connection, up to a
   bound of bytes sent ahead, and reports a hang-up to the handler at once.  */
#ifndef WY_H1_SERVER_H
#define WY_H1_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "base/memory_account.h"
#include "h1/head.h"
#include "h1/overload.h"

enum wy_h1_error
{
  WY_H1_EBIND = -1001,
  WY_H1_ECONNECT = -1002,   /* no connection; nothing was sent */
  WY_H1_ERESET = -1003,     /* connection lost */
  WY_H1_EPARTIAL = -1004,   /* connection lost within the response */
  WY_H1_EMALFORMED = -1005, /* not an HTTP/1.1 response */
  WY_H1_ESILENT = -1006     /* the peer sent nothing for too long */
};

enum
{
  /* When memory is short, a connection is closed if its reader has taken
     nothing for this long.  A reader that is merely slow takes something: with
     a full buffer, TCP reports it after a sixteenth of the buffer, or 8 KB of
     the usual 128 KB.  */
  WY_H1_SILENT_READER_MS = 2000
};

struct wy_h1_server;
struct wy_h1_request;

struct wy_h1_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_timeout_ms; /* first byte to end of head */
  uint32_t idle_timeout_ms;
  uint64_t buffered_bytes; /* request bodies of all connections */
};

/* What clients can make a server hold or do.  */
struct wy_h1_client_limits
{
  uint32_t connections; /* 0: no limit */
  /* Of responses: no further request of a connection is taken while its client
     has left more unread.  0: the default.  */
  uint32_t unread_bytes;
  /* Taken from one connection in a turn of the event loop.  0: the default. */
  uint32_t requests_per_turn;
  /* A connection is closed whose reader has taken nothing of a response for
     this long.  0: the default.  */
  uint32_t reader_timeout_ms;
  uint32_t
      body_timeout_ms; /* end of head to end of body; 0: idle_timeout_ms */
};

struct wy_h1_server_options
{
  uv_loop_t *loop;
  const char *host; /* IPv4 address */
  uint16_t port;    /* 0: any free port */
  struct wy_h1_limits limits;
  struct wy_h1_client_limits clients;
  /* Shared by the servers of a process, which it must outlive.  NULL: the
     server has its own.  */
  struct wy_h1_overload *overload;
  const char *name;                 /* in logs; static; may be NULL */
  struct wy_memory_account *memory; /* NULL: none */
  void (*on_request) (void *ctx, struct wy_h1_request *r);
  /* Called when R, of which only the head is known, is rejected since there is
     no memory for its body.  Returns the time after which its caller may
     return.  NULL: a constant.  */
  uint32_t (*on_no_memory) (void *ctx, const struct wy_h1_request *r);
  /* Whether R, of which only the head is known, may be rejected with 503 for
     lack of memory.  NULL: it may not.  */
  bool (*may_reject) (void *ctx, const struct wy_h1_request *r);
  /* The connection of R is about to be closed for lack of memory: its reader
     has taken nothing for SILENT_MS.  May be NULL.  */
  void (*on_shed) (void *ctx, const struct wy_h1_request *r,
                   size_t unsent_bytes, uint32_t silent_ms);
  void *ctx;
  int *system_error; /* set to libuv's with WY_H1_EBIND; may be NULL */
};

int wy_h1_server_new (struct wy_h1_server **out,
                      const struct wy_h1_server_options *o);
void wy_h1_server_set_limits (struct wy_h1_server *s,
                              const struct wy_h1_limits *limits);
uint16_t wy_h1_server_port (const struct wy_h1_server *s);
uint32_t wy_h1_server_active (const struct wy_h1_server *s);
uint32_t wy_h1_server_unsent (const struct wy_h1_server *s);
uint32_t wy_h1_server_unfinished (const struct wy_h1_server *s);
uint32_t wy_h1_server_connections (const struct wy_h1_server *s);
void wy_h1_server_announce_close (struct wy_h1_server *s);
void wy_h1_server_close_idle (struct wy_h1_server *s,
                              bool (*closes) (void *ctx, int64_t idle_ms),
                              void *ctx);
void wy_h1_server_stop (struct wy_h1_server *s);
void wy_h1_server_hang_up (struct wy_h1_server *s);
void wy_h1_server_free (struct wy_h1_server *s);

const char *wy_h1_method (const struct wy_h1_request *r);
const char *wy_h1_target (const struct wy_h1_request *r);
const struct wy_h1_head *wy_h1_head (const struct wy_h1_request *r);
const char *wy_h1_body (const struct wy_h1_request *r, size_t *n);
int64_t wy_h1_received_ms (const struct wy_h1_request *r);

void wy_h1_on_hangup (struct wy_h1_request *r, void (*cb) (void *ctx),
                      void *ctx);
void wy_h1_respond (struct wy_h1_request *r, int status,
                    const struct wy_h1_header *fields, size_t n_fields,
                    const void *body, size_t n);
void wy_h1_begin_response (struct wy_h1_request *r, int status,
                           const struct wy_h1_header *fields, size_t n_fields);
void wy_h1_write_response (struct wy_h1_request *r, const void *p, size_t n);
size_t wy_h1_unsent_bytes (const struct wy_h1_request *r);
size_t wy_h1_held_bytes (const struct wy_h1_request *r);
size_t wy_h1_untaken_bytes (const uv_tcp_t *tcp);
void wy_h1_end_response (struct wy_h1_request *r);
void wy_h1_break_off (struct wy_h1_request *r);
void wy_h1_abort (struct wy_h1_request *r);

#endif
