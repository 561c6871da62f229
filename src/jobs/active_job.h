/* A job that this entry runs: its items, their runs, its result log.  */
#ifndef WY_JOBS_ACTIVE_JOB_H
#define WY_JOBS_ACTIVE_JOB_H

#include "decide/retry.h"
#include "gate/env.h"
#include "gate/sse.h"
#include "jobs/record.h"
#include "jobs/result.h"
#include "jobs/spec.h"

enum wy_item_state
{
  WY_ITEM_WAITING, /* for a target */
  WY_ITEM_RUNNING, /* its text is being made */
  WY_ITEM_SCORING, /* its text is whole, the score of it is not known */
  WY_ITEM_ENDED,   /* its result waits to be listed */
  WY_ITEM_LISTED
};

struct wy_run;
struct wy_score;
struct wy_carry_write;

/* Items that count together.  */
struct wy_group
{
  uint32_t missing; /* items without a result */
};

struct wy_item
{
  struct wy_owned *job;
  struct wy_group *group;
  const struct wy_item_spec *spec;
  enum wy_item_state state;
  GString *text; /* of the events so far */
  GArray *versions;
  int64_t last_event;    /* -1: none */
  uint64_t text_id;      /* of this making of the text; 0: none yet */
  size_t kept_bytes;     /* of the text, stored for who takes this job over */
  size_t sent_bytes;     /* the same, confirmed or on its way */
  int64_t kept_event;    /* the last event told with them */
  bool kept_whole;       /* it is told that the text is whole */
  int64_t carried_event; /* last one stored for a later job; -1: none */
  uint32_t failed_runs;
  uint32_t runs;
  uint32_t unstarted; /* runs in a row that broke off before any event */
  int64_t not_before_ms;
  struct wy_target *avoid; /* held; where the last run failed, or NULL */
  struct wy_run *run;      /* while it runs */
  struct wy_score *score;  /* while it is scored */
  struct wy_result *result;
};

/* Why a job is no longer this entry's.  */
enum wy_owned_end
{
  WY_OWNED_DONE, /* all items are listed */
  WY_OWNED_LOST  /* its row has another holder, or it has been ended */
};

struct wy_owned
{
  struct wy_gate_env *env;
  struct wy_job_record *record;
  struct wy_job_spec *spec;
  int64_t newest_version; /* of the weights, as named; 0: not known */
  struct wy_item *items;
  GPtrArray *order;      /* of items, in which they are started */
  GHashTable *groups;    /* struct wy_group by name */
  uint32_t whole_groups; /* whose items all have results */
  uint32_t n_items;
  uint32_t n_waiting;
  uint32_t n_scoring;
  struct wy_retry_budget second_scores;
  uint32_t n_listed;
  GQueue ended;     /* struct wy_item whose results wait */
  size_t row_bytes; /* of a row in the store */
  uint64_t ticks;
  int64_t started_ms; /* here */
  bool dropped;
  bool lingering; /* ended: what runs goes on for the next job's sake */
  int64_t lingers_until_ms;
  /* The write of results under way.  */
  bool writing;
  bool scheduled;
  struct wy_carry_write *keeping; /* text being stored, or NULL */
  GPtrArray *batch;               /* struct wy_item */
  uint32_t write_failures;
  uv_timer_t flush;
  void (*on_listed) (void *ctx, struct wy_owned *o);
  void (*on_end) (void *ctx, struct wy_owned *o, enum wy_owned_end why);
  void *ctx;
};

struct wy_owned_options
{
  struct wy_gate_env *env;
  struct wy_job_record *record; /* taken over */
  struct wy_job_spec *spec;     /* taken over */
  size_t row_bytes;
  void (*on_listed) (void *ctx, struct wy_owned *o);
  void (*on_end) (void *ctx, struct wy_owned *o, enum wy_owned_end why);
  void *ctx;
};

struct wy_owned *wy_owned_new (const struct wy_owned_options *o);
void wy_owned_drop (struct wy_owned *o);
void wy_owned_restore (struct wy_owned *o, const char *item);
bool wy_owned_write_ended (struct wy_owned *o);
void wy_owned_pump (struct wy_owned *o);
struct wy_target *wy_owned_pick (const struct wy_item *i,
                                 const struct wy_target *except,
                                 double pace_limit_ms, double slots_share);
void wy_owned_tick (struct wy_owned *o, bool check_runs);
void wy_owned_linger (struct wy_owned *o);
bool wy_owned_linger_tick (struct wy_owned *o);
bool wy_owned_is_done (const struct wy_owned *o);

const struct wy_route *wy_owned_route (const struct wy_owned *o);
int64_t wy_owned_age_ms (const struct wy_owned *o);
int64_t wy_owned_time_left_ms (const struct wy_owned *o);
uint32_t wy_owned_allowed_failures (const struct wy_item *i);

void wy_item_text_whole (struct wy_item *i);
void wy_item_scored (struct wy_item *i, const char *mark);
void wy_item_give_up (struct wy_item *i);
void wy_lister_schedule (struct wy_owned *o);

bool wy_run_is_held_back (struct wy_item *i);
void wy_run_start (struct wy_item *i, struct wy_target *g,
                   const struct wy_route *route);
void wy_run_cancel (struct wy_run *r);
void wy_run_check (struct wy_run *r);

#endif
