/* What entries tell each other directly of requests that crash replicas.  */
#ifndef WY_GATE_SUSPECT_PEERS_H
#define WY_GATE_SUSPECT_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "gate/env.h"
#include "gate/members.h"

struct wy_suspect_peers;

struct wy_suspect_peers *wy_suspect_peers_new (struct wy_gate_env *env,
                                               struct wy_members *members);
void wy_suspect_peers_free (struct wy_suspect_peers *s);
void wy_suspect_peers_tell (struct wy_suspect_peers *s);
bool wy_suspect_peers_handle (struct wy_suspect_peers *s,
                              struct wy_h1_request *r);

#endif
