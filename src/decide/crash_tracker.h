/* Detection of requests that crash their targets, from interrupted runs and
   changes of the list of targets.  */
#ifndef WY_DECIDE_CRASH_TRACKER_H
#define WY_DECIDE_CRASH_TRACKER_H

#include <stdbool.h>

#include "decide/suspect.h"

enum
{
  WY_INTERRUPTED_RUNS_MAX = 1024,
  /* A crashed target is removed from the list after a few missed heartbeats
     or restarts within seconds; runs interrupted longer before that have
     another cause.  */
  WY_CRASH_CONFIRM_MS = 10000,
  /* The same for runs that this entry has cancelled: from the last heartbeat
     of a target that crashes next until the list shows it.  */
  WY_CRASH_CANCELLED_MS = 5000,
  /* Longest time from an interruption until it is known whether the target
     has crashed: that of an attempt to connect to it.  */
  WY_CRASH_VERDICT_MS = 500
};

/* A run whose connection was lost before the end of the response, or that was
   cancelled; its target may have crashed.  */
struct wy_interrupted_run
{
  /* Of the request; 0: an item, which never is the cause of a crash.  */
  uint64_t fingerprint;
  uint64_t incarnation; /* of its target, one start of the process; 0: free */
  int64_t at_ms;
  bool is_open; /* whether its target has crashed will be known soon */
  bool is_cancelled;
};

/* What a crash of a target meant for the runs on it.  */
struct wy_crash_counts
{
  uint32_t counted; /* runs against whose request it was counted */
  uint32_t blocked; /* of these, requests that are blocked from now on */
};

/* What the tracker has learned about a request.  */
struct wy_crash_event
{
  uint64_t fingerprint;
  bool is_remote;   /* another entry's list has told of it */
  uint32_t crashes; /* number of different incarnations of targets */
  uint32_t running; /* interrupted runs on the target */
  int64_t age_ms;   /* since the run was interrupted */
  bool is_blocked;
  bool is_refuted; /* a target that had counted as crashed is running */
};

struct wy_crash_tracker
{
  /* Called for each crash that is counted, here or as another entry's list
     says; may be NULL.  */
  void (*on_crash) (void *ctx, const struct wy_crash_event *ev);
  void *ctx;
  struct wy_suspects suspects;
  struct wy_interrupted_run run[WY_INTERRUPTED_RUNS_MAX]; /* ring buffer */
  uint32_t next;
};

void wy_crash_tracker_init (struct wy_crash_tracker *t);
void wy_crash_tracker_run_interrupted (struct wy_crash_tracker *t,
                                       uint64_t fingerprint,
                                       uint64_t incarnation, int64_t now_ms);
void wy_crash_tracker_run_cancelled (struct wy_crash_tracker *t,
                                     uint64_t fingerprint,
                                     uint64_t incarnation, int64_t now_ms);
void wy_crash_tracker_verdict (struct wy_crash_tracker *t,
                               uint64_t incarnation);
bool wy_crash_tracker_is_open (const struct wy_crash_tracker *t,
                               uint64_t fingerprint, int64_t now_ms);
struct wy_crash_counts
wy_crash_tracker_target_crashed (struct wy_crash_tracker *t,
                                 uint64_t incarnation, int64_t now_ms);
void wy_crash_tracker_verify (struct wy_crash_tracker *t,
                              bool (*is_running) (const void *ctx,
                                                  uint64_t incarnation),
                              const void *ctx, int64_t now_ms);
void wy_crash_tracker_report (struct wy_crash_tracker *t,
                              const struct wy_crash_event *ev);
void wy_crash_tracker_clear (struct wy_crash_tracker *t, uint64_t fingerprint);
bool wy_crash_tracker_has_suspects (const struct wy_crash_tracker *t);
bool wy_crash_tracker_is_blocked (struct wy_crash_tracker *t,
                                  uint64_t fingerprint, int64_t now_ms);
int64_t wy_crash_tracker_backoff_ms (uint32_t unstarted);

#endif
