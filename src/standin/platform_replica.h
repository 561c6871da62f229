/* Stand-in of a replica on the platform: runs requests and items, accepts
   orders to load weights and reports its load.  */
#ifndef WY_STANDIN_PLATFORM_REPLICA_H
#define WY_STANDIN_PLATFORM_REPLICA_H

#include "h1/server.h"

/* Injected faults, none if zeroed.  Unless said otherwise, each counts the
   requests still to be affected.  */
struct wy_platform_replica_faults
{
  uint32_t abort_after_events; /* events sent before an abort */
  uint32_t abort_streams;      /* aborted after abort_after_events */
  uint32_t stall_streams;      /* stalled after one event */
  uint32_t late_streams;       /* first event after late_ms */
  uint32_t late_ms;
  uint32_t split_streams;         /* each event in two parts */
  uint32_t spoil_streams;         /* one byte of one event replaced */
  uint32_t spoil_event;           /* which: number of the event in the text */
  unsigned char spoil_byte;       /* what replaces it */
  bool spoil_id;                  /* in the event's id, not in its data */
  uint32_t spoil_version;         /* Weight-Versions is no number */
  uint32_t ignore_resume;         /* begun anew, with another text */
  uint32_t respond_not_run;       /* rejected with 503 as not run */
  uint32_t respond_500;           /* run, but failed */
  uint32_t respond_503_after_run; /* 503 without Not-Executed */
  uint32_t respond_422;           /* rejected for good */
  uint32_t wrong_attempt_id;      /* response names another attempt */
  uint32_t omit_stamp;            /* response lacks Response-Stamp */
  uint32_t spoil_stamp;           /* the same with a byte that is no UTF-8 */
  uint32_t respond_malformed;     /* run or performed, malformed head */
  uint32_t lose_response;         /* run, connection aborted */
  uint32_t lose_order_response;   /* order performed, connection aborted */
  uint32_t hang;                  /* plain services: run without a response */
  uint32_t response_ms;           /* plain services: latency */
  uint32_t order_load_ms;         /* time to load weights */
  uint32_t return_ms;             /* after a crash; 0: not by itself */
  bool return_renamed;            /* under a new id */
  bool silent;                    /* all requests are ignored */
};

struct wy_platform_replica;

struct wy_platform_replica_options
{
  uv_loop_t *loop;
  const char *id;
  uint32_t slots;
  uint32_t events; /* of a stream */
  uint32_t event_ms;
  const char *model; /* NULL: a plain service */
  bool names_runs;   /* events name their run and what it continues */
  /* Any of the callbacks may be NULL.  on_run is called when a request or item
     runs; BODY is that of a plain request, else empty.  */
  void (*on_run) (void *ctx, const char *replica, const char *request,
                  const char *body, size_t n);
  /* Called just before on_run with the request's ORGANISATION and access KEY,
     each NULL if the request has none.  */
  void (*on_caller) (void *ctx, const char *request, const char *organisation,
                     const char *key);
  /* A stream has been sent up to its last event.  */
  void (*on_stream_end) (void *ctx, const char *replica, const char *request);
  /* The response to a plain request is sent with STATUS and the unique
     Response-Stamp STAMP.  */
  void (*on_response) (void *ctx, const char *replica, const char *request,
                       int status, const char *stamp);
  /* The process of R has ended; wy_platform_replica_start_again starts it.  */
  void (*on_crash) (void *ctx, struct wy_platform_replica *r);
  void *ctx;
};

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
void wy_platform_replica_crash (struct wy_platform_replica *r);
bool wy_platform_replica_start_again (struct wy_platform_replica *r,
                                      const char *id);
bool wy_platform_replica_is_down (const struct wy_platform_replica *r);
const char *wy_platform_replica_id (const struct wy_platform_replica *r);
int64_t wy_platform_replica_last_resume (const struct wy_platform_replica *r);
const char *wy_platform_replica_event_data (uint32_t event, char *out,
                                            size_t size);

#endif
