/* Internal state of the replica stand-in, shared by platform_replica*.c.  */
#ifndef WY_STANDIN_PLATFORM_REPLICA_STATE_H
#define WY_STANDIN_PLATFORM_REPLICA_STATE_H

#include "standin/platform_replica.h"

struct wy_platform_replica
{
  struct wy_platform_replica_options o;
  struct wy_h1_server *server;
  uv_timer_t load_timer;
  uv_timer_t crash_timer;
  uint16_t port;
  int reserved_fd; /* keeps the port while R is down; 0: none */
  int64_t version;
  int64_t loading_version; /* version; 0: none */
  int64_t orders;
  int64_t started_ms;
  int64_t last_resume;
  uint32_t runs;
  uint32_t running;
  uint32_t responses; /* of plain requests */
  uint32_t malformed_responses;
  struct wy_platform_replica_faults faults;
};

int wy_platform_replica_listen (struct wy_platform_replica *r);
void wy_platform_replica_release_port (struct wy_platform_replica *r);
void wy_platform_replica_crash_soon (struct wy_platform_replica *r);
bool wy_platform_take_fault (uint32_t *count);
void wy_platform_replica_respond_malformed (struct wy_platform_replica *r,
                                            struct wy_h1_request *q,
                                            const char *id);
void wy_platform_replica_report (struct wy_platform_replica *r,
                                 struct wy_h1_request *q);
void wy_platform_replica_order (struct wy_platform_replica *r,
                                struct wy_h1_request *q);

#endif
