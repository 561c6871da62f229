/* State of one weight rollout.  Internal to this module.  */
#ifndef WY_YARD_ROLLOUT_STATE_H
#define WY_YARD_ROLLOUT_STATE_H

#include <glib.h>

#include "decide/waves.h"
#include "yard/rollout.h"

#define WY_ROLLOUT_TARGETS_MAX 4096

/* One target of the rollout.  */
struct wy_rollout_target
{
  struct wy_rollout *rollout;
  char *id;
  bool order_pending;
  enum wy_order_kind kind; /* of the last order */
  int64_t ordered_version; /* of the last order */
  uint32_t failed_orders;  /* since the last activation or new goal */
  int64_t retry_ms;
  int64_t version; /* in force, by the last report or order */
  int64_t staged_version;
  int64_t order_done_ms; /* end of the last order if it succeeded, else 0 */
  bool named;            /* unused */
  bool up;
  struct wy_target_view view;
};

struct wy_rollout
{
  struct wy_yard_env *env;
  char *model;
  struct wy_lease *lease;
  uv_timer_t timer;
  int64_t goal;        /* version to bring the targets to; 0: none */
  GHashTable *targets; /* char * -> struct wy_rollout_target */
  /* struct wy_rollout_target, those that are up, sorted by id: their places in
     the relay tree.  */
  GPtrArray *ready_targets;
  struct wy_target_view *views;
  struct wy_token_bucket weights_budget; /* reads from the weight store */
  uint32_t pending_orders;
  bool stopped;
  bool closing;
  bool timer_closed;
};

int64_t wy_rollout_now_ms (const struct wy_rollout *r);
void wy_rollout_wake (struct wy_rollout *r);
void wy_rollout_free_if_unused (struct wy_rollout *r);
void wy_rollout_update_targets (struct wy_rollout *r);
void wy_rollout_target_order (struct wy_rollout_target *x,
                              enum wy_order_kind kind, const char *source);
void wy_rollout_target_free (gpointer p);

#endif
