/* Internal state of src/gate/suspect_peers.c and src/gate/run_permit.c.  */
#ifndef WY_GATE_SUSPECT_PEERS_STATE_H
#define WY_GATE_SUSPECT_PEERS_STATE_H

#include <jansson.h>

#include "decide/run_permits.h"
#include "gate/suspect_peers.h"

#define WY_PERMIT_ASK_TARGET "/suspects/permit"
#define WY_PERMIT_RELEASE_TARGET "/suspects/release"

struct wy_suspect_peers
{
  struct wy_gate_env *env;
  struct wy_members *members;
  struct wy_run_permits permits; /* that this entry has given */
  GArray *cleared;               /* uint64_t, not told yet */
  uv_timer_t tell_timer;
  int64_t told_ms; /* time of the last message; 0: none */
  bool has_all;    /* another entry has sent all suspects that it knows */
};

json_t *wy_permit_on_ask (struct wy_suspect_peers *s, const json_t *doc);
json_t *wy_permit_on_release (struct wy_suspect_peers *s, const json_t *doc);

#endif
