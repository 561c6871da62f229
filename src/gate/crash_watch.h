/* Runs that were interrupted without a response, and what shows that a replica
   crashed under them.  */
#ifndef WY_GATE_CRASH_WATCH_H
#define WY_GATE_CRASH_WATCH_H

#include "gate/env.h"

/* A run whose connection was lost before the end of the response, or that was
   cancelled.  */
struct wy_crash_watch_run
{
  const char *id;       /* of the request or item */
  uint64_t fingerprint; /* of the request; 0: an item */
  struct wy_target *target;
  uint64_t incarnation; /* of the target when the run started */
  int64_t started_ms;
};

void wy_crash_watch_init (struct wy_gate_env *env);
void wy_crash_watch_run_interrupted (struct wy_gate_env *env,
                                     const struct wy_crash_watch_run *r);
void wy_crash_watch_run_cancelled (struct wy_gate_env *env,
                                   const struct wy_crash_watch_run *r);
void wy_crash_watch_refused (struct wy_gate_env *env, struct wy_target *g);
void wy_crash_watch_target_ended (struct wy_gate_env *env,
                                  struct wy_target *g);
void wy_crash_watch_check_list (struct wy_gate_env *env, int64_t list_age_ms);

#endif
