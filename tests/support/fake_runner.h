/* A runner of samples that tells outcomes when the test says so, or a moment
   after the start.  */
#ifndef WY_TESTS_FAKE_RUNNER_H
#define WY_TESTS_FAKE_RUNNER_H

#include <stdbool.h>

#include <glib.h>
#include <uv.h>

#include "yard/runner.h"

struct fake_runner
{
  struct wy_runner runner;
  uv_timer_t timer;
  bool running;
  GPtrArray *open;   /* struct fake_run */
  int64_t version;   /* that engines make samples with */
  uint32_t capacity; /* streams */
  uint32_t started;
  uint32_t cancelled;
  uint32_t gap_next; /* outcomes with a gap in their segments */
  uint32_t refuse_next;
  uint32_t crash_next;
  uint32_t mixed_versions_next; /* outcomes half of this version, half of the
                                   one before */
  bool hold_outcomes;           /* no outcome until the test clears it */
  int64_t min_version;          /* of the last request */
};

void fake_runner_init (struct fake_runner *r, uv_loop_t *loop,
                       int64_t version);
void fake_runner_close (struct fake_runner *r);

#endif
