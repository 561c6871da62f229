/* What an entry believes of the replicas it sends work to, and which one it
   chooses.  No input or output: rows, answers and failures are told to it.  */
#ifndef WY_GATE_TARGETS_H
#define WY_GATE_TARGETS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "gate/replica.h"

struct wy_targets;

/* Kinds of work whose times are of no use to each other: one service may
   answer callers in some ten ms and score texts in some hundred.  */
enum wy_work
{
  WY_WORK_REQUEST, /* a caller's, whole */
  WY_WORK_EVENT,   /* of a job's item */
  WY_WORK_SCORE,   /* of an item's text */
  WY_WORKS
};

/* How long a target takes for a unit of one kind of work.  */
struct wy_pace
{
  double ms; /* smoothed; 0: not known */
  int64_t seen_ms;
};

struct wy_target
{
  struct wy_replica info;
  bool listed;        /* still in the list of replicas */
  uint32_t in_flight; /* requests of this entry */
  uint32_t held;      /* others that point here */
  uint32_t failures;  /* one after another */
  int64_t avoid_until_ms;
  uint32_t refusals;       /* in a row, of work that it did not run */
  uint32_t unanswered;     /* of ours, sent and not begun to be answered */
  uint32_t reported_load;  /* running and waiting, of all callers */
  uint32_t in_flight_then; /* ours among them */
  int64_t reported_ms;
  struct wy_pace pace[WY_WORKS];
};

enum wy_target_outcome
{
  WY_TARGET_ANSWERED,
  WY_TARGET_CANCELLED,  /* by us, for no fault of its own */
  WY_TARGET_REJECTED,   /* turned it away without running it */
  WY_TARGET_FAILED,     /* connection refused, reset, or a spoilt answer */
  WY_TARGET_TIMED_OUT,  /* nothing in time */
  WY_TARGET_STALLED,    /* no headway now, as while it loads weights */
  WY_TARGET_MISDIRECTED /* another replica has the address */
};

/* What a target must be to be chosen.  */
struct wy_target_criteria
{
  const char *service;
  enum wy_work work;
  const char *availability_zone; /* of the entry; nearer targets win ties */
  const char *model;             /* NULL: any */
  int64_t min_version;
  int64_t newest_version;   /* preferred; 0: none */
  uint32_t in_flight_limit; /* of this entry on one target; 0: none */
  bool require_free_slot;   /* only where a request starts at once */
  double slots_share;       /* the part of them that may be taken; 0: all */
  uint32_t reserved_slots;  /* and so many of them are left free */
  double pace_limit_ms;     /* not where work is slower; 0: anywhere */
  const struct wy_target *const *tried;
  uint32_t n_tried;
};

struct wy_targets *wy_targets_new (uint64_t seed);
void wy_targets_watch_idle (struct wy_targets *t,
                            uint32_t (*idle) (const void *ctx,
                                              const struct sockaddr_in *a),
                            const void *ctx);
void wy_targets_free (struct wy_targets *t);
struct wy_target *wy_targets_set (struct wy_targets *t,
                                  const struct wy_replica *info);
void wy_targets_remove (struct wy_targets *t, const char *id);
struct wy_target *wy_targets_find (struct wy_targets *t, const char *id);
void wy_targets_each (const struct wy_targets *t,
                      void (*fn) (void *ctx, const struct wy_target *g),
                      void *ctx);
uint32_t wy_targets_count_ready (const struct wy_targets *t,
                                 const char *service);
struct wy_target *wy_targets_pick (struct wy_targets *t,
                                   const struct wy_target_criteria *p,
                                   int64_t now_ms);
double wy_targets_median_pace_ms (const struct wy_targets *t,
                                  const char *service, enum wy_work work);

void wy_target_ref (struct wy_target *g);
void wy_target_unref (struct wy_targets *t, struct wy_target *g);
void wy_target_request_started (struct wy_target *g);
void wy_target_request_ended (struct wy_targets *t, struct wy_target *g,
                              enum wy_target_outcome outcome, int64_t now_ms);
void wy_target_response_started (struct wy_target *g);
void wy_target_record_load (struct wy_target *g, uint32_t load,
                            int64_t now_ms);
void wy_target_record_pace (struct wy_target *g, enum wy_work work, double ms,
                            int64_t now_ms);
void wy_target_record_version (struct wy_target *g, const char *model,
                               int64_t version);
int64_t wy_target_version (const struct wy_target *g, const char *model);

#endif
