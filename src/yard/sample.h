/* One sample of a step.  Internal to this module.  */
#ifndef WY_YARD_SAMPLE_H
#define WY_YARD_SAMPLE_H

#include "base/id.h"
#include "yard/sampling.h"

enum wy_sample_phase
{
  WY_SAMPLE_PHASE_WAITING,  /* for a start after a rejection */
  WY_SAMPLE_PHASE_RUNNING,  /* at an engine */
  WY_SAMPLE_PHASE_SCORING,  /* at the scoring service */
  WY_SAMPLE_PHASE_ACCEPTED, /* complete, for the batch */
  WY_SAMPLE_PHASE_DROPPED
};

struct wy_sample
{
  struct wy_sampling *owner; /* NULL: the step has ended */
  uint32_t index;            /* its number in wy_step */
  enum wy_sample_phase phase;
  bool run_pending; /* the runner hasn't reported the outcome yet */
  char id[WY_ID_SIZE_BYTES];
  char request_id[WY_ID_SIZE_BYTES];
  int64_t due_ms;
  int64_t started_ms;
  char *run_id;
  char *text;
  json_t *segments;
  int64_t oldest; /* version of its tokens */
  uint32_t tokens;
  double score;
  struct wy_score_job *score_job;
};

struct wy_sampling
{
  struct wy_sampling_options o;
  char *model;
  char *trainer;
  json_t *groups;
  struct wy_step *step;
  int64_t version;
  GPtrArray *samples;    /* struct wy_sample */
  uint32_t n_unfinished; /* waiting, running or being scored */
  bool issue_blocked;    /* streams were free, but nothing could be issued */
};

json_t *wy_sample_segments (const struct wy_run_outcome *o, int64_t *oldest);
void wy_sample_start (struct wy_sample *m);
void wy_sample_drop (struct wy_sample *m, const char *reason);
void wy_sample_free (struct wy_sample *m);
const json_t *wy_sample_group (const struct wy_sample *m);

#endif
