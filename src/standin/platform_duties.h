/* Stand-in of the platform API for duties, which only their current holder may
   call: it keeps what is reported and records calls out of fencing order.  */
#ifndef WY_STANDIN_PLATFORM_DUTIES_H
#define WY_STANDIN_PLATFORM_DUTIES_H

#include <glib.h>

#include "h1/server.h"

/* Injected faults, none if zeroed.  Each counts the calls still to be
   affected.  */
struct wy_platform_duties_faults
{
  uint32_t respond_503;   /* rejected with 503 */
  uint32_t respond_429;   /* rejected with 429 */
  uint32_t lose_response; /* performed, but not responded to */
  bool silent;            /* all calls are ignored */
};

struct wy_platform_duties;

struct wy_platform_duties *wy_platform_duties_new (uv_loop_t *loop,
                                                   uint16_t port);
void wy_platform_duties_free (struct wy_platform_duties *d);
uint16_t wy_platform_duties_port (const struct wy_platform_duties *d);
struct wy_platform_duties_faults *
wy_platform_duties_faults (struct wy_platform_duties *d);
uint32_t wy_platform_duties_calls (const struct wy_platform_duties *d);
uint32_t wy_platform_duties_window_count (const struct wy_platform_duties *d);
int64_t wy_platform_duties_request_count (const struct wy_platform_duties *d,
                                          const char *organisation);
int64_t wy_platform_duties_replicas (const struct wy_platform_duties *d,
                                     const char *service,
                                     const char *availability_zone);
const GPtrArray *
wy_platform_duties_violations (const struct wy_platform_duties *d);

#endif
