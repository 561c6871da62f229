/* The yards of one entry: trainers' interface, samplers and weight
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
  WY_YARD_EINVALID = -701,  /* the request makes no sense */
  WY_YARD_EUNKNOWN = -702,  /* no such yard, trainer or step */
  WY_YARD_ECONFLICT = -703, /* differs from what was sent before */
  WY_YARD_ESTORE = -704,    /* the store could not be asked */
  WY_YARD_ESTALE = -705,    /* too old to be handed out again */
  WY_YARD_ESCORE = -706     /* could not be scored */
};

struct wy_yard;

struct wy_yard_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_store *store;
  const struct wy_runner *runner;   /* must outlive the yard */
  const struct wy_orderer *orderer; /* NULL: no weight rollouts here */
  struct wy_http_client *http;      /* for scoring; NULL: one of its own */
  const char *holder;               /* process and incarnation */
  uint64_t seed;
  /* 0 in any of these: the default.  */
  uint32_t lease_ttl_ms;
  uint32_t poll_ms;      /* how often the holder looks for steps */
  uint64_t weight_bytes; /* size of one version, for pacing the staging */
  uint64_t weight_bytes_per_s;
};

struct wy_yard *wy_yard_new (const struct wy_yard_options *o);
void wy_yard_configure (struct wy_yard *y, const struct wy_document *d);
bool wy_yard_handle_request (struct wy_yard *y, struct wy_http_exchange *ex);
void wy_yard_stop (struct wy_yard *y);
void wy_yard_free (struct wy_yard *y);

#endif
