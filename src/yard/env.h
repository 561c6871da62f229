/* State that all parts of the yards share.  Internal to this module.  */
#ifndef WY_YARD_ENV_H
#define WY_YARD_ENV_H

#include "base/rng.h"
#include "yard/yard.h"

struct wy_yard_counters
{
  uint64_t *finished;
  uint64_t *dropped;
  uint64_t *unproven;
  uint64_t *batches;
  uint64_t *scoring_failures;
  uint64_t *orders_failed;
};

struct wy_yard_env
{
  struct wy_yard_options o;
  struct wy_yard_counters n;
  struct wy_rng rng;
  uint32_t refs; /* held by samplers, rollouts and pending reads */
  void (*on_unref) (struct wy_yard_env *env);
};

/* The newest published weight version of one yard, as last read.  */
struct wy_yard_version
{
  int64_t current;
  int64_t rev;
  /* Monotonic times at which a newer version and a change of the row were
     first read; 0: never.  */
  int64_t published_ms;
  int64_t changed_ms;
  uint32_t period_ms; /* between the last two versions; 0: unknown */
  uint32_t trainers;  /* of the yard; each may publish */
};

void wy_yard_env_ref (struct wy_yard_env *env);
void wy_yard_env_unref (struct wy_yard_env *env);
int64_t wy_yard_version_expected_ms (const struct wy_yard_version *v,
                                     bool ahead, int64_t now_ms);
void wy_yard_version_set (struct wy_yard_version *v, int64_t current,
                          int64_t rev, int64_t now_ms);

#endif
