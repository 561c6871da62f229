/* HTTP/1.1 client of the daemons that do not run on the platform, and of
   wyctl.  */
#ifndef WY_HTTP_CLIENT_H
#define WY_HTTP_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

struct wy_http_client;
struct wy_http_call;

struct wy_http_header_field
{
  const char *name;
  const char *value;
};

struct wy_http_call_options
{
  const char *method;
  const char *host; /* IP number, or a name that is looked up */
  uint16_t port;
  const char *path; /* including the query */
  const struct wy_http_header_field *headers;
  size_t n_headers;
  const void *body;
  size_t body_size_bytes;
  uint32_t timeout_ms; /* of the call; 0: only the client's idle timeout */
  /* Any of the callbacks may be NULL.  on_end comes once, last, unless the
     call is cancelled.  on_sending comes when the connection is established,
     just before the request is sent: until then the target has received
     nothing.  */
  void (*on_sending) (void *ctx);
  void (*on_head) (void *ctx, int status,
                   const struct wy_http_header_field *headers, size_t n);
  void (*on_data) (void *ctx, const char *p, size_t n);
  void (*on_end) (void *ctx, int err);
  void *ctx;
};

/* A complete response, or an error.  */
struct wy_http_response
{
  int err;
  int status;
  const char *body; /* NUL-terminated */
  size_t size_bytes;
  const char *etag; /* as in the header; NULL: none */
};

struct wy_http_client *wy_http_client_new (uv_loop_t *loop,
                                           uint32_t idle_timeout_ms);
void wy_http_client_count_malformed (struct wy_http_client *c,
                                     uint64_t *count);
void wy_http_client_free (struct wy_http_client *c);
struct wy_http_call *wy_http_call_start (struct wy_http_client *c,
                                         const struct wy_http_call_options *o);
void wy_http_call_cancel (struct wy_http_call *call);
struct wy_http_call *
wy_http_fetch (struct wy_http_client *c, const struct wy_http_call_options *o,
               void (*on_done) (void *ctx, const struct wy_http_response *r),
               void *ctx);

#endif
