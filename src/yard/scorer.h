/* Calls to one scoring service.  Internal to this module.  */
#ifndef WY_YARD_SCORER_H
#define WY_YARD_SCORER_H

#include <glib.h>

#include "decide/retry.h"
#include "yard/env.h"

struct wy_scorer;
struct wy_score_job;

struct wy_score_request
{
  const char *sample;
  const char *prompt;
  const char *completion;
  /* Called once, never before wy_scorer_start returns.  */
  void (*on_done) (void *ctx, int err, double score);
  void *ctx;
};

struct wy_scorer *wy_scorer_new (struct wy_yard_env *env, const char *address);
void wy_scorer_configure (struct wy_scorer *s, const char *address);
void wy_scorer_free (struct wy_scorer *s);
struct wy_score_job *wy_scorer_start (struct wy_scorer *s,
                                      const struct wy_score_request *r);
void wy_score_job_cancel (struct wy_score_job *j);
void wy_scorer_run (struct wy_scorer *s);

#endif
