/* Stand-in of a server that answers each request with the same bytes, which
   need not be an HTTP response.  */
#ifndef WY_STANDIN_SCRIPTED_H
#define WY_STANDIN_SCRIPTED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

struct wy_scripted_response
{
  const char *name;
  const char *text;
  size_t n;  /* bytes of TEXT; 0: up to its NUL */
  bool ends; /* the connection is closed after it */
};

struct wy_scripted_options
{
  uv_loop_t *loop;
  struct wy_scripted_response response;
  bool bytewise;                         /* one byte in each turn */
  const char *method;                    /* other requests get OTHERWISE; */
  struct wy_scripted_response otherwise; /* NULL: all are the same */
};

struct wy_scripted
{
  uv_tcp_t listener; /* must stay first */
  struct wy_scripted_options o;
  uint16_t port;
  uint32_t answered; /* requests, with the response */
  uint32_t handles;  /* not closed yet */
};

/* Responses whose head or framing no client may accept.  Each has "spoilt" as
   its body, its stamp, or a field.  */
extern const struct wy_scripted_response wy_malformed_responses[];
extern const size_t wy_n_malformed_responses;

struct wy_scripted *wy_scripted_new (const struct wy_scripted_options *o);
void wy_scripted_free (struct wy_scripted *s);

#endif
