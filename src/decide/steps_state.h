/* State of one step; private to the step modules.  */
#ifndef WY_DECIDE_STEPS_STATE_H
#define WY_DECIDE_STEPS_STATE_H

#include "decide/steps.h"

struct wy_step_sample
{
  enum wy_sample_state state;
  bool moved;
  bool overdue; /* far beyond its predicted length */
  bool ahead;   /* started with older weights than the trainer will have */
  uint32_t tokens;
  uint32_t us_per_token;
  uint64_t version; /* of the weights when started */
  uint64_t oldest_version;
};

struct wy_step_group
{
  uint32_t predicted_tokens;
  uint32_t issued;
  uint32_t running;
  uint32_t accepted;
  uint32_t overdue; /* of those running */
};

struct wy_step
{
  struct wy_step_options o;
  uint32_t per_group; /* maximum number of samples started per group */
  struct wy_step_group *group;
  struct wy_step_sample *sample;
  uint32_t *order; /* groups, longest predicted first */
  bool sorted;
  bool version_is_active; /* the trainer's version is active */
  uint32_t cursor;        /* in ORDER; the groups before it need no samples */
  uint32_t scan;          /* next sample to check for being a straggler */
  uint32_t accepted;
  uint32_t ahead; /* number of samples started ahead */
  uint32_t extra; /* number of extra samples */
};

struct wy_step_sample *wy_step_at (struct wy_step *s, uint32_t sample);

#endif
