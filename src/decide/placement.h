/* Choice of a target for each request of one entry.  */
#ifndef WY_DECIDE_PLACEMENT_H
#define WY_DECIDE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "decide/errors.h"
#include "decide/work_class.h"

#define WY_PLACEMENT_AZS_MAX 16
#define WY_PLACEMENT_TRIED_MAX 4

enum wy_outcome
{
  WY_OUTCOME_OK,
  WY_OUTCOME_SLOW,      /* response was late */
  WY_OUTCOME_FAILED,    /* error, crash or timeout */
  WY_OUTCOME_REFUSED,   /* rejected as "not run" by the target's queue */
  WY_OUTCOME_CANCELLED, /* by the caller; tells nothing about the target */
};

/* Zero selects the default, except for the zone.  */
struct wy_placement_options
{
  uint32_t targets_max;
  uint32_t az;                  /* of this entry */
  uint32_t samples;             /* targets compared per choice */
  uint32_t report_stale_ms;     /* older reports are ignored */
  uint32_t az_penalty_us;       /* added for a target in another zone */
  uint32_t prefill_token_us;    /* per uncached prompt token */
  uint32_t token_base_us;       /* per output token */
  uint32_t token_per_stream_us; /* added to it by each stream */
  uint32_t shared_streams_max;  /* streams per target while it has callers */
  uint32_t eject_ms;     /* first ejection; doubled for each repetition */
  uint32_t prefix_slots; /* number of sets in the table of cached prefixes */
};

struct wy_target_options
{
  uint64_t id; /* stable, for rendezvous hashing */
  uint32_t az;
  uint64_t incarnation;
  uint64_t version; /* of the weights that it serves */
  uint32_t streams_max;
};

struct wy_load_report
{
  uint32_t callers; /* running and waiting */
  uint32_t rollouts_running;
  uint32_t rollouts_waiting;
  uint32_t streams_max;
  uint32_t caller_wait_ms;
  uint32_t us_per_token; /* 0: unknown */
  uint32_t kv_free_tokens;
  bool closing;
};

struct wy_placement_request
{
  enum wy_work_class work_class;
  uint64_t prefix_hash; /* 0: none */
  uint32_t prefix_tokens;
  uint32_t prompt_tokens;
  uint32_t predicted_tokens;
  uint64_t version;                       /* 0: any */
  uint32_t tried[WY_PLACEMENT_TRIED_MAX]; /* slots that rejected it */
  uint32_t n_tried;
};

struct wy_placement;

struct wy_placement *wy_placement_new (const struct wy_placement_options *o);
void wy_placement_free (struct wy_placement *p);
int wy_placement_add (struct wy_placement *p,
                      const struct wy_target_options *o);
void wy_placement_remove (struct wy_placement *p, uint32_t slot);
void wy_placement_drain (struct wy_placement *p, uint32_t slot);
void wy_placement_restarted (struct wy_placement *p, uint32_t slot,
                             uint64_t incarnation);
void wy_placement_set_version (struct wy_placement *p, uint32_t slot,
                               uint64_t version);
void wy_placement_load_reported (struct wy_placement *p, uint32_t slot,
                                 const struct wy_load_report *r,
                                 uint32_t age_ms, int64_t now_ms);
void wy_placement_cache_event (struct wy_placement *p, uint32_t slot,
                               uint64_t prefix_hash, bool present,
                               int64_t now_ms);
int wy_placement_pick (struct wy_placement *p,
                       const struct wy_placement_request *req, int64_t now_ms,
                       struct wy_rng *rng);
void wy_placement_request_started (struct wy_placement *p, uint32_t slot,
                                   const struct wy_placement_request *req,
                                   int64_t now_ms);
void wy_placement_token_latency (struct wy_placement *p, uint32_t slot,
                                 uint32_t us_per_token, int64_t now_ms);
void wy_placement_request_ended (struct wy_placement *p, uint32_t slot,
                                 enum wy_work_class work_class,
                                 enum wy_outcome outcome, int64_t now_ms);
uint32_t wy_placement_in_flight (const struct wy_placement *p, uint32_t slot);
int wy_placement_rendezvous (uint64_t key, const uint64_t *ids, uint32_t n);

#endif
