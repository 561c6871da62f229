/* A job that this entry runs: its items, their runs, their results.  */
#ifndef WY_JOBS_ACTIVE_JOB_H
#define WY_JOBS_ACTIVE_JOB_H

#include "decide/retry.h"
#include "gate/env.h"
#include "gate/sse.h"
#include "jobs/item_plan.h"
#include "jobs/record.h"
#include "jobs/result.h"
#include "jobs/spec.h"

enum wy_item_state
{
  WY_ITEM_WAITING,  /* for a target */
  WY_ITEM_RUNNING,  /* its text is being generated */
  WY_ITEM_SCORING,  /* its text is complete and waits for its score */
  WY_ITEM_UNLISTED, /* it has a result that is not listed yet */
  WY_ITEM_LISTED
};

struct wy_run;
struct wy_score;
struct wy_checkpoint_write;

/* Items that the trainer uses together.  */
struct wy_group
{
  uint32_t index; /* among the groups of the job, in the order of its items */
  uint32_t missing; /* items without a result */
};

struct wy_item
{
  struct wy_active_job *job;
  struct wy_group *group;
  const struct wy_item_spec *spec;
  enum wy_item_state state;
  GString *text;        /* data of the events so far, joined by line feeds */
  size_t counted_bytes; /* of text and result, in the memory account */
  GArray *versions;
  int64_t last_event; /* id of the last event in text; -1: none */
  uint64_t text_id;   /* random; changes when text is discarded; 0: none yet */
  size_t saved_bytes; /* of text, stored for a takeover */
  size_t sent_bytes;  /* of text, stored or being written */
  int64_t saved_event;    /* last one written for a takeover; -1: none */
  bool saved_complete;    /* written for a takeover as complete */
  int64_t next_job_event; /* last event stored for a later job; -1: none */
  uint32_t failed_runs;   /* with status 500 */
  uint32_t runs;
  double slot_ms;              /* duration of its ended runs with events */
  uint32_t run_events;         /* events of its ended runs */
  int64_t text_complete_ms;    /* when its text was complete */
  uint32_t runs_without_event; /* in a row, failed before any event */
  int64_t not_before_ms;       /* earliest start of the next run */
  struct wy_target *avoid; /* referenced; where the last run failed; or NULL */
  struct wy_run *run;      /* in state RUNNING */
  struct wy_score *score;  /* in state SCORING */
  struct wy_result *result;
};

/* A position of the result list whose row can't be read.  Nobody has got a
   result there, so the next one takes its place.  */
struct wy_unreadable_result
{
  uint64_t position;
  int64_t row_version;
};

/* Why this entry no longer runs a job.  */
enum wy_active_job_end
{
  WY_ACTIVE_JOB_DONE, /* all items are listed */
  WY_ACTIVE_JOB_LOST  /* its row names another holder or has state ended */
};

struct wy_active_job
{
  struct wy_gate_env *env;
  struct wy_job_record *record;
  struct wy_job_spec *spec;
  int64_t newest_version; /* of the weights, as announced; 0: unknown */
  struct wy_item *items;
  GPtrArray *start_order; /* of items; longest expected text first, unless
                             a plan says otherwise */
  struct wy_item_planner *planner;
  struct wy_item_plan plan;
  GHashTable *groups;       /* struct wy_group by name */
  uint32_t complete_groups; /* groups whose items all have results */
  uint32_t n_items;
  uint32_t n_waiting;
  uint32_t n_scoring;
  struct wy_retry_budget hedge_budget;
  uint32_t n_listed;
  GArray *unreadable; /* struct wy_unreadable_result, by position */
  GQueue unlisted;    /* struct wy_item */
  size_t row_bytes;   /* limit of a row in the store */
  uint64_t ticks;
  int64_t started_ms; /* when this entry started to run it */
  bool closed;
  bool lingering; /* ended by its trainer; runs continue for a later job */
  int64_t linger_until_ms;
  /* Writes, in progress or scheduled.  */
  bool writing;
  bool flush_scheduled;
  struct wy_checkpoint_write *checkpoint_write; /* in progress, or NULL */
  uint32_t checkpoint_next; /* item at which the next one begins */
  GPtrArray *batch;         /* struct wy_item */
  uint32_t write_failures;
  uv_timer_t flush; /* starts the next result write */
  void (*on_listed) (void *ctx, struct wy_active_job *o);
  void (*on_end) (void *ctx, struct wy_active_job *o,
                  enum wy_active_job_end why);
  void *ctx;
};

struct wy_active_job_options
{
  struct wy_gate_env *env;
  struct wy_job_record *record; /* ownership is taken */
  struct wy_job_spec *spec;     /* ownership is taken */
  struct wy_item_planner *planner;
  size_t row_bytes;
  void (*on_listed) (void *ctx, struct wy_active_job *o);
  void (*on_end) (void *ctx, struct wy_active_job *o,
                  enum wy_active_job_end why);
  void *ctx;
};

struct wy_active_job *
wy_active_job_new (const struct wy_active_job_options *o);
void wy_active_job_close (struct wy_active_job *o);
void wy_active_job_restore_listed (struct wy_active_job *o, const char *item);
void wy_active_job_restore_unreadable (struct wy_active_job *o,
                                       int64_t row_version);
uint64_t wy_active_job_positions (const struct wy_active_job *o);
bool wy_active_job_store_call_ended (struct wy_active_job *o);
void wy_active_job_start_items (struct wy_active_job *o);
void wy_active_job_start_waiting (struct wy_active_job *o, uint32_t max,
                                  enum wy_group_class last);
struct wy_target *wy_active_job_pick_target (const struct wy_item *i,
                                             const struct wy_target *except,
                                             double pace_limit_ms,
                                             double slots_share);
void wy_active_job_tick (struct wy_active_job *o, bool check_runs);
void wy_active_job_linger (struct wy_active_job *o);
bool wy_active_job_linger_tick (struct wy_active_job *o);
bool wy_active_job_is_done (const struct wy_active_job *o);

const struct wy_route *wy_active_job_route (const struct wy_active_job *o);
int64_t wy_active_job_age_ms (const struct wy_active_job *o);
int64_t wy_active_job_time_left_ms (const struct wy_active_job *o);
uint32_t wy_item_max_score_failures (const struct wy_item *i);

void wy_item_count_memory (struct wy_item *i);
void wy_item_count_result (struct wy_item *i);
void wy_item_cancel_scoring (struct wy_item *i);
void wy_item_text_complete (struct wy_item *i);
void wy_item_scored (struct wy_item *i, const char *stamp);
void wy_item_give_up (struct wy_item *i);
void wy_item_discard_text (struct wy_item *i);
void wy_item_discard_result (struct wy_item *i);
void wy_result_list_schedule (struct wy_active_job *o);

void wy_run_start (struct wy_item *i, struct wy_target *g,
                   const struct wy_route *route);
void wy_run_cancel (struct wy_run *r);
void wy_run_check_progress (struct wy_run *r);

#endif
