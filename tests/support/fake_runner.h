/* A runner of samples that reports outcomes a few milliseconds after the
   start, or when the test allows it.  */
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
  int64_t version;   /* of the weights that generate samples */
  uint32_t capacity; /* streams */
  uint32_t started;
  uint32_t cancelled;
  uint32_t gap_next; /* number of outcomes with a gap in their segments */
  uint32_t refuse_next;
  uint32_t crash_next;
  uint32_t mixed_versions_next; /* number, half by the previous version */
  bool hold_outcomes;           /* no outcomes while set */
  int64_t min_version;          /* of the last request */
};

void fake_runner_init (struct fake_runner *r, uv_loop_t *loop,
                       int64_t version);
void fake_runner_close (struct fake_runner *r);

#endif
