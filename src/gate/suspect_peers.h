/* What entries tell each other directly of requests that crash replicas, and
   the permits to run such a request.  */
#ifndef WY_GATE_SUSPECT_PEERS_H
#define WY_GATE_SUSPECT_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/run_permits.h"
#include "gate/env.h"
#include "gate/members.h"

struct wy_suspect_peers;
struct wy_permit;

struct wy_permit_options
{
  uint64_t fingerprint;
  const char *id;      /* of the request, for the log */
  int64_t duration_ms; /* for which the run may last */
  int64_t timeout_ms;  /* for the permit */
  /* Called when the state is no longer WY_PERMIT_PENDING, unless it is not
     from the start.  */
  void (*on_state) (void *ctx);
  void *ctx;
};

struct wy_suspect_peers *wy_suspect_peers_new (struct wy_gate_env *env,
                                               struct wy_members *members);
void wy_suspect_peers_free (struct wy_suspect_peers *s);
void wy_suspect_peers_tell (struct wy_suspect_peers *s);
void wy_suspect_peers_cleared (struct wy_suspect_peers *s,
                               uint64_t fingerprint);
void wy_suspect_peers_members_changed (struct wy_suspect_peers *s);
bool wy_suspect_peers_handle (struct wy_suspect_peers *s,
                              struct wy_h1_request *r);

struct wy_permit *wy_permit_ask (struct wy_suspect_peers *s,
                                 const struct wy_permit_options *o);
enum wy_permit_state wy_permit_state (const struct wy_permit *p);
void wy_permit_end (struct wy_permit *p);

#endif
