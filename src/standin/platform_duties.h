/* Stand-in of the platform's calls that one process at a time may make: it
   keeps what was reported and notes who breaks the order of holders.  */
#ifndef WY_STANDIN_PLATFORM_DUTIES_H
#define WY_STANDIN_PLATFORM_DUTIES_H

#include <glib.h>

#include "h1/server.h"

/* What goes wrong; all off when zeroed.  Counts run down with each call.  */
struct wy_platform_duties_faults
{
  uint32_t respond_503;   /* calls answered 503 and not taken */
  uint32_t respond_429;   /* calls answered 429 and not taken */
  uint32_t lose_response; /* calls taken, their answer lost */
  bool silent;            /* no call is answered or taken */
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
