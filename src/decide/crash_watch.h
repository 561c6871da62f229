/* Requests under which targets crashed, where only the list of targets tells
   of a crash.  */
#ifndef WY_DECIDE_CRASH_WATCH_H
#define WY_DECIDE_CRASH_WATCH_H

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

struct wy_crash_watch
{
  struct wy_suspects suspects;
  struct wy_broken_run broken[WY_BROKEN_RUNS_MAX];
  uint32_t next;
};

void wy_crash_watch_init (struct wy_crash_watch *w);
void wy_crash_watch_broken (struct wy_crash_watch *w, uint64_t fingerprint,
                            const char *target, int64_t now_ms);
uint32_t wy_crash_watch_crashed (struct wy_crash_watch *w, const char *target,
                                 int64_t now_ms);
void wy_crash_watch_cleared (struct wy_crash_watch *w, uint64_t fingerprint);
bool wy_crash_watch_any (const struct wy_crash_watch *w);
bool wy_crash_watch_holds_back (struct wy_crash_watch *w, uint64_t fingerprint,
                                int64_t now_ms);
int64_t wy_crash_watch_pause_ms (uint32_t unstarted);

#endif
