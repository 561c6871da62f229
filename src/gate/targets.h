/* The targets (replicas) that an entry sends work to: what is known of them,
   and the choice between them.  Does no input or output: rows, responses and
   failures are passed in.  */
#ifndef WY_GATE_TARGETS_H
#define WY_GATE_TARGETS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "gate/replica.h"
#include "gate/target_range.h"

struct wy_targets;

/* Kinds of work, whose durations are recorded separately: the same service may
   take tens of ms for a caller's request and hundreds for a score.  */
enum wy_work_kind
{
  WY_WORK_REQUEST, /* a caller's request */
  WY_WORK_EVENT,   /* one event of a job item's stream */
  WY_WORK_SCORE,   /* the score of an item's text */
  WY_WORK_KINDS
};

/* Pace: the time that a target takes per unit of one kind of work.  */
struct wy_work_pace
{
  double ms;       /* moving average; 0: not known */
  int64_t seen_ms; /* time of the last sample */
};

struct wy_target
{
  struct wy_replica info;
  uint64_t incarnation;         /* identifies this start of its process */
  uint64_t crashed_incarnation; /* the last one that crashed; 0: none */
  uint32_t unlisted_starts;     /* since that in its row */
  bool is_probed;               /* for whether its process has ended */
  bool listed;                  /* still in the list of replicas */
  uint32_t in_flight;           /* requests of this entry */
  uint32_t refs;                /* pointers held by others */
  uint32_t failures;            /* consecutive */
  int64_t avoid_until_ms;
  uint32_t refusals;      /* consecutive rejections of work, or stalls */
  uint32_t unanswered;    /* in-flight requests without a response head */
  uint32_t reported_load; /* running and waiting requests of all entries */
  uint32_t in_flight_at_report; /* in_flight when the load was reported */
  int64_t reported_ms;          /* time of that report; 0: none */
  struct wy_work_pace pace[WY_WORK_KINDS];
};

enum wy_target_outcome
{
  WY_TARGET_ANSWERED,
  WY_TARGET_CANCELLED,  /* by this entry, through no fault of the target */
  WY_TARGET_REJECTED,   /* not run by the target, which is at capacity */
  WY_TARGET_FAILED,     /* connection refused or reset, invalid response */
  WY_TARGET_TIMED_OUT,  /* no data in time */
  WY_TARGET_STALLED,    /* no progress now, as while it loads weights */
  WY_TARGET_MISDIRECTED /* another replica has the address */
};

/* Criteria for the choice of a target.  */
struct wy_target_criteria
{
  const char *service;
  enum wy_work_kind work;
  const char *availability_zone; /* preferred among equals; NULL: none */
  const char *model;             /* NULL: any */
  int64_t min_version;
  int64_t newest_version;   /* preferred; 0: none */
  uint32_t in_flight_limit; /* of this entry on one target; 0: none */
  bool require_free_slot;   /* only a target that can run it at once */
  double slots_share;       /* fraction of the slots to use; 0: all */
  uint32_t reserved_slots;  /* number of slots to leave free */
  double pace_limit_ms;     /* no target with a slower pace; 0: no limit */
  const struct wy_target_range *range;  /* of the model; NULL: any target */
  const struct wy_target *const *tried; /* excluded */
  uint32_t n_tried;
};

struct wy_targets *wy_targets_new (uint64_t seed);
void wy_targets_set_idle_count (
    struct wy_targets *t,
    uint32_t (*idle_count) (const void *ctx, const struct sockaddr_in *a),
    const void *ctx);
void wy_targets_free (struct wy_targets *t);
struct wy_target *wy_targets_set (struct wy_targets *t,
                                  const struct wy_replica *info);
void wy_targets_remove (struct wy_targets *t, const char *id);
struct wy_target *wy_targets_find (struct wy_targets *t, const char *id);
struct wy_target *wy_targets_find_replaced (struct wy_targets *t,
                                            const struct wy_target *g);
void wy_targets_each (const struct wy_targets *t,
                      void (*fn) (void *ctx, const struct wy_target *g),
                      void *ctx);
uint32_t wy_targets_count_ready (const struct wy_targets *t,
                                 const char *service);
struct wy_target *wy_targets_pick (struct wy_targets *t,
                                   const struct wy_target_criteria *p,
                                   int64_t now_ms);
double wy_targets_median_pace_ms (const struct wy_targets *t,
                                  const char *service, enum wy_work_kind work);

bool wy_targets_has_incarnation (const struct wy_targets *t,
                                 uint64_t incarnation);
void wy_target_process_ended (struct wy_target *g);
void wy_target_ref (struct wy_target *g);
void wy_target_unref (struct wy_targets *t, struct wy_target *g);
void wy_target_request_started (struct wy_target *g);
void wy_target_request_ended (struct wy_targets *t, struct wy_target *g,
                              enum wy_target_outcome outcome, int64_t now_ms);
void wy_target_response_started (struct wy_target *g);
void wy_target_record_load (struct wy_target *g, uint32_t load,
                            int64_t now_ms);
void wy_target_record_pace (struct wy_target *g, enum wy_work_kind work,
                            double ms, int64_t now_ms);
void wy_target_record_version (struct wy_target *g, const char *model,
                               int64_t version);
int64_t wy_target_version (const struct wy_target *g, const char *model);

#endif
