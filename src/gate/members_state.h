/* Internal state of src/gate/members*.c.  */
#ifndef WY_GATE_MEMBERS_STATE_H
#define WY_GATE_MEMBERS_STATE_H

#include <jansson.h>

#include "decide/liveness.h"
#include "gate/busy_slots.h"
#include "gate/members.h"
#include "rows/watch.h"

enum
{
  WY_MEMBERS_NAME_SIZE_BYTES = 128,
  WY_MEMBERS_SUCCESSORS_MAX = 16,
  /* Successors to monitor while none of them is late; each late one adds
     more.  */
  WY_MEMBERS_MONITORED_MIN = 4
};

/* An entry as described by its row in the directory.  */
struct member
{
  char node[WY_MEMBERS_NAME_SIZE_BYTES];
  char holder[WY_MEMBERS_NAME_SIZE_BYTES];
  char partition[WY_MEMBERS_PARTITION_SIZE_BYTES]; /* of its row */
  int64_t row_version;
  uint64_t position; /* on the ring */
  struct sockaddr_in address;
  bool has_address;
  double cpu_share;
  bool draining; /* accepts no new jobs */
  bool relayed;  /* reaches the store only through other entries */
  bool leaving;  /* its jobs may be taken over */
  bool failed;
  json_t *crashed;         /* its suspects; NULL: none */
  int64_t failed_since_ms; /* local time at which the mark was read */
  int64_t epoch_ms;        /* wall-clock time, by its clock, at zero of the
                              store's clock; 0: not reported */
};

/* An entry that this one may monitor.  */
struct successor
{
  char node[WY_MEMBERS_NAME_SIZE_BYTES];
  uint64_t position;
  bool mark_pending; /* a write that marks it as failed is in progress */
};

struct wy_members
{
  struct wy_members_options o;
  struct wy_watch *watch;
  uv_timer_t update_timer; /* runs on_update */
  uv_timer_t heartbeat_timer;
  uv_timer_t poll_timer;
  uint64_t position;   /* of this entry */
  GHashTable *by_node; /* struct member */
  /* Holders without a row, int64_t *: the time at which each was first looked
     up.  */
  GHashTable *unknown_holders;
  bool ring_is_stale;
  struct successor successors[WY_MEMBERS_SUCCESSORS_MAX]; /* nearest first */
  struct wy_liveness liveness[WY_MEMBERS_SUCCESSORS_MAX]; /* likewise */
  uint32_t n_successors;
  uint32_t n_monitored;   /* the first successors */
  uint32_t pending_reads; /* of heartbeats */
  int64_t last_read_ms;   /* time of the last successful one; 0: none */
  uint32_t polls;
  uint64_t heartbeats; /* written so far */
  bool writing_heartbeat;
  GHashTable *busy_slots;      /* double * by "service/zone", of this entry */
  struct wy_watch *load_watch; /* on all heartbeats; NULL: not watched */
  GHashTable *load_by_key;     /* struct load; NULL without load_watch */
  int64_t epoch_ms;            /* median of the entries'; 0: not known */
  int64_t published_epoch_ms;  /* in the row of this entry; 0: none */
  int64_t usage_complete;      /* newest window stored; -1: not counted here */
  int64_t own_version;         /* of the row of this entry; 0: no row */
  char *stored_row;            /* text of that row; NULL: unknown */
  char *pending_row;           /* text being written; NULL: none */
  bool address_written;
  bool draining;
  bool leaving;
};

bool wy_member_is_alive (const struct member *e);
void wy_members_update_epoch (struct wy_members *m);
void wy_members_write_row (struct wy_members *m);
struct member **wy_members_ring (const struct wy_members *m, size_t *n);

void wy_members_start_heartbeats (struct wy_members *m);
void wy_members_stop_heartbeats (struct wy_members *m);

#endif
