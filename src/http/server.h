/* HTTP server of the daemons that do not run on the platform.  */
#ifndef WY_HTTP_SERVER_H
#define WY_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "h1/overload.h"

struct wy_http_server;
struct wy_http_exchange;

struct wy_http_server_options
{
  uv_loop_t *loop;
  const char *host; /* IPv4 address */
  uint16_t port;    /* 0: any free port */
  const char *name; /* of the listener in logs; static; may be NULL */
  size_t body_limit_bytes;
  uint64_t bodies_limit_bytes; /* of all requests together; 0: none */
  uint32_t connection_limit;   /* 0: no limit */
  /* To receive a request's head, and then its body; 0: 10 s.  */
  uint32_t request_timeout_ms;
  struct wy_h1_overload *overload; /* NULL: without a limit of memory */
  void (*on_request) (struct wy_http_exchange *ex, void *ctx);
  void *ctx;
  int *system_error; /* set to libuv's with WY_HTTP_EBIND; may be NULL */
};

int wy_http_server_new (struct wy_http_server **out,
                        const struct wy_http_server_options *o);
uint16_t wy_http_server_port (const struct wy_http_server *s);
uint32_t wy_http_server_active_requests (const struct wy_http_server *s);
uint32_t wy_http_server_connections (const struct wy_http_server *s);
void wy_http_server_stop_accepting (struct wy_http_server *s);
void wy_http_server_free (struct wy_http_server *s);

const char *wy_http_method (const struct wy_http_exchange *ex);
const char *wy_http_path (const struct wy_http_exchange *ex);
const char *wy_http_query (const struct wy_http_exchange *ex);
const char *wy_http_header (struct wy_http_exchange *ex, const char *name);
size_t wy_http_header_count (const struct wy_http_exchange *ex);
void wy_http_header_at (struct wy_http_exchange *ex, size_t i,
                        const char **name, const char **value);
const char *wy_http_body (const struct wy_http_exchange *ex, size_t *n);

void wy_http_on_abort (struct wy_http_exchange *ex,
                       void (*cb) (struct wy_http_exchange *ex, void *ctx),
                       void *ctx);
void wy_http_add_header (struct wy_http_exchange *ex, const char *name,
                         const char *value);
void wy_http_respond (struct wy_http_exchange *ex, int status,
                      const char *content_type, const void *body, size_t n);
void wy_http_stream_begin (struct wy_http_exchange *ex, int status,
                           const char *content_type);
void wy_http_stream_write (struct wy_http_exchange *ex, const void *p,
                           size_t n);
size_t wy_http_stream_pending_bytes (const struct wy_http_exchange *ex);
void wy_http_stream_end (struct wy_http_exchange *ex);
void wy_http_stream_abort (struct wy_http_exchange *ex);
void wy_http_close_connection (struct wy_http_exchange *ex);

#endif
