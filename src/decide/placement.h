/* Placement of requests on targets, by one entry.  */
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
  WY_OUTCOME_SLOW,      /* answered, late */
  WY_OUTCOME_FAILED,    /* error, crash or silence */
  WY_OUTCOME_REFUSED,   /* "not run" from the target's queue */
  WY_OUTCOME_CANCELLED, /* by the caller; says nothing about the target */
};

/* Zero means the default for every limit.  */
struct wy_placement_options
{
  uint32_t targets_max;
  uint32_t az;               /* of this entry */
  uint32_t samples;          /* targets looked at per pick */
  uint32_t report_stale_ms;  /* a report older than this counts no more */
  uint32_t az_penalty_us;    /* of a target in another AZ */
  uint32_t prefill_token_us; /* of a prompt token that is not cached */
  uint32_t token_base_us;    /* of a target nothing is known about */
  uint32_t token_stream_us;
  uint32_t shared_streams_max; /* the agents', while callers are present */
  uint32_t eject_ms;           /* first ejection; doubles when repeated */
  uint32_t prefix_slots;       /* size of the table of cached prefixes */
};

struct wy_target_options
{
  uint64_t id; /* stable, for rendezvous hashing */
  uint32_t az;
  uint64_t incarnation;
  uint64_t version; /* weights it serves */
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
  uint32_t tried[WY_PLACEMENT_TRIED_MAX]; /* slots that refused it */
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
