/* Inside of the list of entries: src/gate/members*.c.  */
#ifndef WY_GATE_MEMBERS_STATE_H
#define WY_GATE_MEMBERS_STATE_H

#include "gate/busy.h"
#include "gate/members.h"
#include "rows/watch.h"

enum
{
  /* An entry whose beat did not change for so long, while the store answered,
     is gone: three beats, so that one slow or lost write does not count.  */
  WY_MEMBERS_GONE_AFTER_MS = 1600,
  WY_MEMBERS_NAME_SIZE_BYTES = 128
};

struct member
{
  char node[WY_MEMBERS_NAME_SIZE_BYTES];
  char holder[WY_MEMBERS_NAME_SIZE_BYTES];
  struct sockaddr_in address;
  bool has_address;
  double cpu_share;
  bool draining; /* takes no new jobs */
  bool relayed;  /* reaches the store through others alone */
  bool leaving;  /* its jobs are free */
  int64_t silent_ms;
  json_t *busy;           /* slots that it keeps busy, or NULL */
  int64_t epoch_ms;       /* its time of day at zero of the store's clock; 0:
                             not told */
  int64_t usage_complete; /* window to which its counts are stored; -1: it
                             does not count */
};

struct wy_members
{
  struct wy_members_options o;
  struct wy_watch *watch;
  uv_timer_t beat;
  uv_timer_t tick;
  GHashTable *by_node; /* struct member */
  GHashTable *unseen;  /* holder -> time at which it was first asked for */
  int64_t counted_ms;  /* silence is counted to here: an answer of the store */
  uint64_t beats;
  GHashTable *busy;       /* double * by name, of this entry */
  int64_t epoch_ms;       /* median of the entries' */
  int64_t usage_complete; /* of this entry; -1: it does not count */
  bool writing;
  bool writing_address;
  bool address_written;
  bool draining;
  bool leaving;
};

void wy_members_learn_epoch (struct wy_members *m);

#endif
