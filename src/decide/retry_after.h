/* Time after which rejected callers may return, from the rate at which work
   ends.  Does no input or output; the time and random numbers are passed
   in.  */
#ifndef WY_DECIDE_RETRY_AFTER_H
#define WY_DECIDE_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WY_RETRY_AFTER_CALLERS_MAX = 256
};

struct wy_rejected_caller
{
  uint64_t fingerprint; /* of the request or job */
  int64_t due_ms;       /* when it was told to return; 0: free slot */
};

/* Whether a request is of a caller that was rejected before.  */
enum wy_return
{
  WY_RETURN_NONE,    /* not known to have been rejected */
  WY_RETURN_EARLY,   /* before the time that it was told */
  WY_RETURN_IN_TIME, /* at that time or shortly after it */
  WY_RETURN_LATE
};

/* What a time is based on.  */
enum wy_retry_after_basis
{
  WY_RETRY_AFTER_CONSTANT, /* nothing was observed */
  WY_RETRY_AFTER_RATE,
  WY_RETRY_AFTER_KNOWN_END
};

struct wy_retry_after_options
{
  uint32_t period_ms; /* over which the rate is averaged; 0: the default */
  uint32_t expiry_ms; /* of the rate after the last end; 0: the default */
};

/* State of one service, or of the jobs of an entry.  */
struct wy_retry_after
{
  uint32_t period_ms;
  uint32_t expiry_ms;
  double ended;         /* ends, each weighted by its age */
  uint32_t n_ended;     /* ends since FIRST_END_MS */
  int64_t first_end_ms; /* of the present observation */
  int64_t last_end_ms;
  struct wy_rejected_caller caller[WY_RETRY_AFTER_CALLERS_MAX]; /* ring */
  uint32_t next;
  int64_t last_due_ms; /* latest time ever told; 0: none */
};

struct wy_retry_after_query
{
  uint64_t fingerprint;   /* 0: the caller is not expected to return */
  uint32_t default_ms;    /* without an observation */
  int64_t known_end_ms;   /* until the reason ends; -1: not known */
  bool by_rate;           /* capacity is free again as work ends */
  double least_rate_hz;   /* of ends, if capacity is used; 0: not known */
  uint32_t not_before_ms; /* with BY_RATE: the first may return then */
  int64_t time_left_ms;   /* of the caller; -1: not known */
  double random;          /* in [0, 1) */
};

struct wy_retry_after_time
{
  uint32_t ms;
  uint32_t ahead; /* rejected callers that return before this one */
  double rate_hz; /* 0: not known */
  enum wy_retry_after_basis basis;
};

void wy_retry_after_init (struct wy_retry_after *s,
                          const struct wy_retry_after_options *o);
void wy_retry_after_ended (struct wy_retry_after *s, int64_t now_ms);
double wy_retry_after_rate_hz (const struct wy_retry_after *s, int64_t now_ms);
struct wy_retry_after_time
wy_retry_after_tell (struct wy_retry_after *s,
                     const struct wy_retry_after_query *q, int64_t now_ms);
bool wy_retry_after_expects_any (const struct wy_retry_after *s,
                                 int64_t now_ms);
enum wy_return wy_retry_after_returned (struct wy_retry_after *s,
                                        uint64_t fingerprint, int64_t now_ms);

#endif
