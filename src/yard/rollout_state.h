/* State of one weight rollout.  Inside the package only.  */
#ifndef WY_YARD_ROLLOUT_STATE_H
#define WY_YARD_ROLLOUT_STATE_H

#include <glib.h>

#include "decide/waves.h"
#include "yard/rollout.h"

#define WY_ROLLOUT_TARGETS_MAX 4096

/* One target as the rollout sees it.  */
struct wy_replica
{
  struct wy_rollout *rollout;
  char *id;
  bool awaited;
  enum wy_order_kind kind; /* of the order awaited */
  int64_t ordered;         /* version that tries counts for */
  uint32_t tries;
  int64_t retry_ms;
  int64_t version; /* in force, by report or answer */
  int64_t staged;
  int64_t answered_ms; /* last successful order */
  bool named;
  bool up;
  struct wy_target_view view;
};

struct wy_rollout
{
  struct wy_yard_env *env;
  char *model;
  struct wy_lease *lease;
  uv_timer_t timer;
  int64_t goal;
  GHashTable *replicas; /* char * -> struct wy_replica */
  GPtrArray *order;     /* struct wy_replica, by id: the relay tree */
  struct wy_target_view *views;
  struct wy_token_bucket pace;
  uint32_t awaited;
  bool stopped;
  bool closing;
  bool timer_closed;
};

int64_t wy_rollout_now_ms (const struct wy_rollout *r);
void wy_rollout_wake (struct wy_rollout *r);
void wy_rollout_destroy (struct wy_rollout *r);
void wy_rollout_look (struct wy_rollout *r);
void wy_replica_order (struct wy_replica *x, enum wy_order_kind kind,
                       const char *source);
void wy_replica_free (gpointer p);

#endif
