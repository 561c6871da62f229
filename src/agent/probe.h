/* Tests whether a port accepts connections.  */
#ifndef WY_AGENT_PROBE_H
#define WY_AGENT_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

void wy_agent_probe (uv_loop_t *loop, const char *host, uint16_t port,
                     void (*on_done) (void *ctx, bool ok), void *ctx);

#endif
