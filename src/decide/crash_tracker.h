/* Requests under which targets crashed, where only the list of targets tells
   of a crash.  */
#ifndef WY_DECIDE_CRASH_TRACKER_H
#define WY_DECIDE_CRASH_TRACKER_H

#include <stdbool.h>

#include "decide/suspect.h"

enum
{
  WY_BROKEN_RUNS_MAX = 64
};

/* A run that broke off unanswered; its target may have crashed.  */
struct wy_broken_run
{
  uint64_t fingerprint; /* 0: free */
  uint64_t target;
  int64_t at_ms;
};

struct wy_crash_tracker
{
  struct wy_suspects suspects;
  struct wy_broken_run broken[WY_BROKEN_RUNS_MAX];
  uint32_t next;
};

void wy_crash_tracker_init (struct wy_crash_tracker *w);
void wy_crash_tracker_run_interrupted (struct wy_crash_tracker *w,
                                       uint64_t fingerprint,
                                       const char *target, int64_t now_ms);
uint32_t wy_crash_tracker_target_crashed (struct wy_crash_tracker *w,
                                          const char *target, int64_t now_ms);
void wy_crash_tracker_clear (struct wy_crash_tracker *w, uint64_t fingerprint);
bool wy_crash_tracker_has_suspects (const struct wy_crash_tracker *w);
bool wy_crash_tracker_is_blocked (struct wy_crash_tracker *w,
                                  uint64_t fingerprint, int64_t now_ms);
int64_t wy_crash_tracker_backoff_ms (uint32_t unstarted);

#endif
