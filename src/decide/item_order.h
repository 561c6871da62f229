/* Order in which the items of a job start if they can't all end in time.  */
#ifndef WY_DECIDE_ITEM_ORDER_H
#define WY_DECIDE_ITEM_ORDER_H

#include <stdbool.h>
#include <stdint.h>

struct wy_item_order_item
{
  uint32_t group; /* index */
  double left_ms; /* expected slot time that it still takes; 0: none */
  bool begun;     /* a run of it has started */
};

/* How much the trainer needs a group, according to the plan.  */
enum wy_group_class
{
  WY_GROUP_SELECTED, /* is to be on time, or has begun as one of these */
  WY_GROUP_WANTED,   /* too late, but the trainer needs it to go on */
  WY_GROUP_UNWANTED, /* beyond the number of groups that the trainer needs */
};

struct wy_item_order_group
{
  bool complete;             /* all its items have results */
  bool carried;              /* has text from an earlier job */
  bool keeps_place;          /* selected by an earlier plan, and has begun */
  enum wy_group_class class; /* set by the plan */
};

struct wy_item_order_options
{
  const struct wy_item_order_item *items;
  uint32_t n_items;
  struct wy_item_order_group *groups; /* the carried ones first */
  uint32_t n_groups;
  double slots;    /* that the job may use; 0: unknown */
  double left_ms;  /* until its results are due */
  uint32_t wanted; /* groups that the trainer needs in addition to the complete
                      ones */
  bool was_planned; /* it did not fit when it was last planned */
};

struct wy_item_order_plan
{
  bool fits;        /* all items can end in time; no order was determined */
  uint32_t on_time; /* incomplete groups that can be complete when due */
  double work_ms;   /* slot time of the incomplete groups */
};

struct wy_item_order_plan wy_item_order (const struct wy_item_order_options *o,
                                         uint32_t *order);

#endif
