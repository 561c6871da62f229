/* The yards of one entry: HTTP interface for trainers, samplers and weight
   rollouts.  */
#ifndef WY_YARD_YARD_H
#define WY_YARD_YARD_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "config/document.h"
#include "http/client.h"
#include "http/server.h"
#include "store/client.h"
#include "trace/metrics.h"
#include "trace/trace.h"
#include "yard/runner.h"

enum wy_yard_error
{
  WY_YARD_EINVALID = -701,  /* malformed request, row or object */
  WY_YARD_EUNKNOWN = -702,  /* no such yard, trainer or step */
  WY_YARD_ECONFLICT = -703, /* differs from an earlier submission */
  WY_YARD_ESTORE = -704,    /* the store is unavailable */
  WY_YARD_ESTALE = -705,    /* the batch is stale */
  WY_YARD_ESCORE = -706     /* the sample could not be scored */
};

struct wy_yard;

struct wy_yard_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_store *store;
  const struct wy_runner *runner;   /* must outlive the yards */
  const struct wy_orderer *orderer; /* NULL: no weight rollouts */
  struct wy_http_client *http;      /* for scoring; NULL: a new client */
  const char *holder;               /* process and incarnation */
  uint64_t seed;
  /* 0 in any of these: the default.  */
  uint32_t lease_ttl_ms;
  uint32_t poll_ms;            /* polling interval of a sampler's rows */
  uint64_t weight_bytes;       /* size of one version */
  uint64_t weight_bytes_per_s; /* read from the weight store; 0: no limit */
};

struct wy_yard *wy_yard_new (const struct wy_yard_options *o);
void wy_yard_configure (struct wy_yard *y, const struct wy_document *d);
bool wy_yard_handle_request (struct wy_yard *y, struct wy_http_exchange *ex);
void wy_yard_stop (struct wy_yard *y);
void wy_yard_free (struct wy_yard *y);

#endif
