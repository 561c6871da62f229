/* A server in trouble: on each connection it sends bytes without end that are
   no answer, until the caller closes.  */
#ifndef WY_TESTS_ENDLESS_H
#define WY_TESTS_ENDLESS_H

#include <stdint.h>

#include <uv.h>

enum endless_kind
{
  ENDLESS_BYTES, /* nothing of HTTP */
  ENDLESS_FIELD,
  ENDLESS_FIELDS,
  ENDLESS_INTERIM, /* responses */
  ENDLESS_BODY,    /* that would end with the connection */
  ENDLESS_CHUNKS,
  ENDLESS_CHUNK_EXTENSION,
  ENDLESS_ERROR_BODY,
  ENDLESS_EVENTS, /* comments in a stream of events */
  ENDLESS_KINDS
};

struct endless
{
  uv_tcp_t listener; /* must stay first */
  enum endless_kind kind;
  uint16_t port;
  uint32_t opened;
  uint32_t open;
  uint64_t sent_max_bytes; /* on one connection */
};

void endless_start (struct endless *e, uv_loop_t *loop,
                    enum endless_kind kind);
void endless_stop (struct endless *e);

#endif
