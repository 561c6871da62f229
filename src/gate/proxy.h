/* Proxy: forwards a caller's request to a replica and the response back.  */
#ifndef WY_GATE_PROXY_H
#define WY_GATE_PROXY_H

#include "gate/env.h"
#include "h1/server.h"

void wy_proxy_start (struct wy_gate_env *env, struct wy_h1_request *r,
                     const struct wy_route *route, const struct wy_org *org);
void wy_proxy_give_up_all (struct wy_gate_env *env, const char *reason);

#endif
