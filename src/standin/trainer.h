/* Simulated trainer: declarations shared by trainer*.c.  */
#ifndef WY_STANDIN_TRAINER_H
#define WY_STANDIN_TRAINER_H

#include "standin/entry_list.h"
#include "standin/standin.h"

struct wy_trainer_settings
{
  struct wy_standin_settings common;
  GPtrArray *entries;
  char *token;
  char *yard;
  char *trainer;
  char *model;
  char *weights;
  char *report;
  int64_t steps;
  int64_t ahead;
  int64_t groups;
  int64_t samples;
  int64_t max_tokens;
  int64_t max_staleness;
  int64_t train_ms;
  int64_t poll_ms;
  int64_t weights_size_bytes;
  int64_t initial_version;
};

#define WY_TRAINER_SETTINGS 17

extern const struct wy_setting wy_trainer_table[WY_TRAINER_SETTINGS];

struct wy_trainer_stats
{
  int64_t started_us;
  int64_t ended_us;
  int64_t
      waiting_since_us; /* waits for a batch since then; 0: does not wait */
  int64_t idle_us;
  int64_t steps;
  int64_t steps_lost; /* samples too old when read again */
  int64_t samples;
  int64_t duplicates;
  int64_t staleness_sum;
  int64_t staleness_max;
  int64_t retries;  /* of calls */
  GHashTable *seen; /* sample ids */
};

void wy_trainer_stats_add_batch (struct wy_trainer_stats *stats,
                                 const json_t *samples, int64_t staleness);
void wy_trainer_report_write (const struct wy_trainer_stats *stats,
                              const struct wy_trainer_settings *o,
                              int64_t version);

#endif
