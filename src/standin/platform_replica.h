/* Stand-in of a replica on the platform: runs requests and items, takes
   orders to load weights, tells its load.  */
#ifndef WY_STANDIN_PLATFORM_REPLICA_H
#define WY_STANDIN_PLATFORM_REPLICA_H

#include "h1/server.h"

/* What goes wrong; all off when zeroed.  Counts run down with each request
   that they hit.  */
struct wy_platform_replica_faults
{
  uint32_t
      abort_after_events; /* streams: broken off behind so many events, ... */
  uint32_t abort_streams; /* ... so often */
  uint32_t stall_streams; /* streams that stand still after one event */
  uint32_t respond_not_run; /* turned away as not run */
  uint32_t respond_500;     /* answered 500 */
  uint32_t
      respond_503_after_run; /* run, and answered 503, not marked as not run */
  uint32_t respond_422;      /* answered 422 */
  uint32_t wrong_attempt_id; /* answered as if to another request */
  uint32_t omit_stamp;       /* without the mark of a replica's answer */
  uint32_t lose_response;    /* run, the answer lost */
  uint32_t lose_order_response; /* performed, not answered */
  uint32_t hang;                /* plain services: run and never answered */
  uint32_t response_ms;         /* plain services: time of an answer */
  uint32_t order_load_ms;
  bool silent;
};

struct wy_platform_replica_options
{
  uv_loop_t *loop;
  const char *id;
  uint32_t slots;
  uint32_t events; /* of a stream */
  uint32_t event_ms;
  const char *model; /* NULL: a plain service */
  /* A request or item runs; BODY is what a plain one is answered with.  */
  void (*on_run) (void *ctx, const char *replica, const char *request,
                  const char *body, size_t n);
  /* The same request names ORGANISATION, NULL for none, and bears KEY, NULL
     for none; NULL: nobody asks.  */
  void (*on_sender) (void *ctx, const char *request, const char *organisation,
                     const char *key);
  /* A stream has been sent to its last event; NULL: nobody asks.  */
  void (*on_whole) (void *ctx, const char *replica, const char *request);
  /* A plain request is answered with STATUS under MARK, which no other answer
     has; NULL: nobody asks.  */
  void (*on_answer) (void *ctx, const char *replica, const char *request,
                     int status, const char *mark);
  void *ctx;
};

struct wy_platform_replica;

struct wy_platform_replica *
wy_platform_replica_new (const struct wy_platform_replica_options *o);
void wy_platform_replica_free (struct wy_platform_replica *r);
uint16_t wy_platform_replica_port (const struct wy_platform_replica *r);
struct wy_platform_replica_faults *
wy_platform_replica_faults (struct wy_platform_replica *r);
char *wy_platform_replica_row_value (const struct wy_platform_replica *r,
                                     const char *service, const char *state,
                                     const char *address);
uint32_t wy_platform_replica_runs (const struct wy_platform_replica *r);
uint32_t wy_platform_replica_running (const struct wy_platform_replica *r);
uint32_t wy_platform_replica_connections (const struct wy_platform_replica *r);
uint32_t wy_platform_replica_orders (const struct wy_platform_replica *r);
int64_t wy_platform_replica_version (const struct wy_platform_replica *r);
void wy_platform_replica_set_version (struct wy_platform_replica *r,
                                      int64_t version);
void wy_platform_replica_restart (struct wy_platform_replica *r);
int64_t wy_platform_replica_last_resume (const struct wy_platform_replica *r);
const char *wy_platform_replica_event_data (uint32_t event, char *out,
                                            size_t size);

#endif
