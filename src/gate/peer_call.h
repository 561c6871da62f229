/* Short calls to other entries, with JSON bodies.  */
#ifndef WY_GATE_PEER_CALL_H
#define WY_GATE_PEER_CALL_H

#include <jansson.h>

#include "gate/env.h"

struct wy_peer_call;

struct wy_peer_call_options
{
  struct wy_gate_env *env;
  struct sockaddr_in address;
  const char *target; /* static */
  const json_t *doc;
  uint32_t timeout_ms;
  /* Called once, unless the call is cancelled; DOC is NULL if there was no
     valid response in time.  May be NULL.  */
  void (*on_end) (void *ctx, const json_t *doc);
  void *ctx;
};

struct wy_peer_call *wy_peer_call_start (const struct wy_peer_call_options *o);
void wy_peer_call_cancel (struct wy_peer_call *c);

#endif
