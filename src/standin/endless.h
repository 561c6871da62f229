/* Stand-in of a server in trouble: on each connection it sends bytes without
   end that are no answer, until the caller closes.  */
#ifndef WY_STANDIN_ENDLESS_H
#define WY_STANDIN_ENDLESS_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

enum wy_endless_kind
{
  WY_ENDLESS_BYTES, /* nothing of HTTP */
  WY_ENDLESS_FIELD,
  WY_ENDLESS_FIELDS,
  WY_ENDLESS_INTERIM, /* responses */
  WY_ENDLESS_BODY,    /* that would end with the connection */
  WY_ENDLESS_CHUNKS,
  WY_ENDLESS_CHUNK_EXTENSION,
  WY_ENDLESS_ERROR_BODY,
  WY_ENDLESS_EVENTS, /* comments in a stream of events */
  WY_ENDLESS_KINDS
};

struct wy_endless
{
  uv_tcp_t listener; /* must stay first */
  enum wy_endless_kind kind;
  uint16_t port;
  uint32_t opened;
  uint32_t open;
  uint64_t sent_max_bytes; /* on one connection */
};

bool wy_endless_start (struct wy_endless *e, uv_loop_t *loop,
                       enum wy_endless_kind kind);
void wy_endless_stop (struct wy_endless *e);

#endif
