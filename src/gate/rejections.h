/* Rejections by an entry: the times after which callers are told to return, by
   service, and whether those that return are served.  */
#ifndef WY_GATE_REJECTIONS_H
#define WY_GATE_REJECTIONS_H

#include "base/clock.h"
#include "base/rng.h"
#include "decide/retry_after.h"
#include "decide/service_time.h"
#include "rows/rows.h"
#include "trace/metrics.h"

struct wy_rejections;

struct wy_rejections_options
{
  const struct wy_clock *clock;
  const struct wy_rows *rows;
  uint64_t seed;
  struct wy_metrics_family *told;     /* counters by reason and basis */
  struct wy_metrics_family *told_us;  /* histograms by reason */
  struct wy_metrics_family *returned; /* counters by work, time, outcome */
};

/* When the reason of a rejection ends.  */
enum wy_rejection_ends
{
  WY_REJECTION_ENDS_NEVER,    /* only the constant applies */
  WY_REJECTION_ENDS_BY_RATE,  /* as requests or jobs end */
  WY_REJECTION_ENDS_BY_STORE, /* when the store is reachable again */
};

struct wy_rejection
{
  const char *service; /* NULL: a job, or a request on a job */
  const char *reason;
  enum wy_rejection_ends ends;
  uint32_t default_ms;    /* without an observation */
  uint32_t not_before_ms; /* with ENDS_BY_RATE */
  double least_rate_hz;   /* the same; 0: not known */
  int64_t time_left_ms;   /* of the caller; -1: not known */
  uint64_t fingerprint;   /* 0: the return is not recorded */
};

enum
{
  /* Size of the buffer for wy_rejection_fields.  */
  WY_REJECTION_FIELDS_SIZE_BYTES = 80
};

struct wy_rejections *
wy_rejections_new (const struct wy_rejections_options *o);
struct wy_retry_after_time wy_rejections_tell (struct wy_rejections *r,
                                               const struct wy_rejection *o);
const char *wy_rejection_fields (const struct wy_retry_after_time *t,
                                 char *out);
void wy_rejections_ended (struct wy_rejections *r, const char *service);
struct wy_service_time *wy_rejections_service_time (struct wy_rejections *r,
                                                    const char *service);
bool wy_rejections_expects_any (const struct wy_rejections *r,
                                const char *service);
enum wy_return wy_rejections_returned (struct wy_rejections *r,
                                       const char *service,
                                       uint64_t fingerprint);
void wy_rejections_return_ended (struct wy_rejections *r, const char *service,
                                 enum wy_return returned, const char *outcome);

#endif
