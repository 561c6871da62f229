/* Admission queue in front of one target.  */
#ifndef WY_DECIDE_QUEUE_H
#define WY_DECIDE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/work_class.h"

#define WY_QUEUE_TRAINERS_MAX 32

enum wy_queue_kind
{
  WY_QUEUE_ENGINE,  /* streams of tokens, limited by KV memory and batch */
  WY_QUEUE_SERVICE, /* whole calls, limited by concurrency */
};

enum wy_queue_item_state
{
  WY_QUEUE_ITEM_NOT_QUEUED, /* not in the queue */
  WY_QUEUE_ITEM_WAITING,
  WY_QUEUE_ITEM_RUNNING,
  WY_QUEUE_ITEM_PAUSED, /* started, holds KV memory, not generating */
};

enum wy_admission_kind
{
  WY_ADMISSION_RUN, /* running now; the caller starts it */
  WY_ADMISSION_QUEUED,
  WY_ADMISSION_REFUSED, /* not run, not kept */
};

enum wy_refusal
{
  WY_REFUSAL_NONE,
  WY_REFUSAL_CLOSING,
  WY_REFUSAL_DEADLINE,  /* could not be met from here */
  WY_REFUSAL_FULL,      /* too many wait already */
  WY_REFUSAL_TOO_LARGE, /* never fits into the target's memory */
};

/* One request.  Its owner keeps it in place from the offer until it is out
   again; a fresh one is all zero.  */
struct wy_queue_item
{
  /* Set by the owner before the offer.  */
  void *data;
  int64_t deadline_ms; /* 0: none */
  enum wy_work_class work_class;
  uint32_t trainer; /* slot of the trainer; rollout only */
  uint32_t prompt_tokens;
  uint32_t cached_tokens;    /* of the prompt, believed in the prefix cache */
  uint32_t predicted_tokens; /* output; 0 for a plain service */
  bool suspect;              /* runs alone */

  /* Kept by the queue; the owner may read them.  */
  bool started; /* has run before; the next run is a resume */
  bool evicted; /* its KV memory was given up; resume from the prefix */
  enum wy_queue_item_state state;
  uint32_t tokens; /* output so far */
  uint32_t kv_tokens;
  uint32_t seen_tokens; /* at the last measurement of its pace */
  int64_t arrived_ms;
  int64_t start_by_ms; /* later it would miss its deadline */
  int64_t seen_ms;     /* of the last measurement of its pace, 0: none */
  int64_t run_ms;      /* start of the present run */
  int64_t ran_ms;      /* sum of the earlier runs */
  struct wy_queue_item *prev;
  struct wy_queue_item *next;
};

struct wy_queue_item_list
{
  struct wy_queue_item *head;
  struct wy_queue_item *tail;
  uint32_t n;
};

/* Zero means the default for every limit.  */
struct wy_queue_options
{
  enum wy_queue_kind kind;
  uint32_t streams_max;        /* running at once */
  uint32_t shared_streams_max; /* the same while callers are present */
  uint32_t kv_tokens_max;
  uint32_t callers_waiting_max;
  uint32_t rollouts_waiting_max;
  uint32_t ageing_ms;     /* a rollout waiting longer takes a turn */
  uint32_t quiet_ms;      /* without callers before rollouts spread out */
  uint32_t token_base_us; /* first guess of the engine's curve */
  uint32_t token_stream_us;
  uint32_t prefill_token_us;
  uint32_t service_ms; /* first guess of a call's duration */
};

struct wy_queue_trainer
{
  double worth;  /* 0: free slot */
  double served; /* tokens over worth */
  struct wy_queue_item_list waiting;
  struct wy_queue_item_list paused;
};

struct wy_queue
{
  struct wy_queue_options o;
  struct wy_queue_item_list callers;
  struct wy_queue_item_list suspects;
  struct wy_queue_item_list running_callers;
  struct wy_queue_item_list running_rollouts;
  struct wy_queue_trainer trainer[WY_QUEUE_TRAINERS_MAX];
  struct wy_queue_item *alone; /* the suspect that runs now */
  uint32_t rollouts_waiting;
  uint32_t rollouts_paused;
  uint64_t kv_used_tokens; /* running and paused */
  uint64_t kv_paused_tokens;
  double caller_ms; /* measured: a caller's time on the target */
  double pace;      /* measured over expected time of a run */
  double served_floor;
  uint32_t starts_since_aged;
  uint32_t trainers; /* slots in use */
  int64_t caller_seen_ms;
  int64_t expire_ms; /* no caller that waits has to start earlier */
  bool closing;
};

struct wy_admission
{
  enum wy_admission_kind kind;
  enum wy_refusal reason;
  uint32_t retry_after_ms; /* refused: when to come back, 0: never */
};

enum wy_preempt_kind
{
  WY_PREEMPT_NONE,
  WY_PREEMPT_PAUSE, /* stop generating; KV memory stays */
  WY_PREEMPT_EVICT, /* export or drop its KV memory */
};

struct wy_preempt
{
  enum wy_preempt_kind kind;
  struct wy_queue_item *item;
};

/* What a load report carries.  */
struct wy_queue_load
{
  uint32_t callers_running;
  uint32_t callers_waiting;
  uint32_t rollouts_running;
  uint32_t rollouts_waiting; /* paused ones count */
  uint32_t streams_max;
  uint32_t kv_free_tokens;
  uint32_t caller_wait_ms; /* a caller arriving now */
  uint32_t us_per_token;   /* at the present number of streams */
  bool closing;
};

void wy_queue_init (struct wy_queue *q, const struct wy_queue_options *o);
int wy_queue_set_trainer (struct wy_queue *q, uint32_t slot, double worth);
struct wy_admission wy_queue_offer (struct wy_queue *q,
                                    struct wy_queue_item *it, int64_t now_ms);
struct wy_queue_item *wy_queue_next (struct wy_queue *q, int64_t now_ms);
struct wy_preempt wy_queue_preempt (struct wy_queue *q, int64_t now_ms);
void wy_queue_progress (struct wy_queue *q, struct wy_queue_item *it,
                        uint32_t tokens, int64_t now_ms);
void wy_queue_done (struct wy_queue *q, struct wy_queue_item *it,
                    uint32_t tokens, int64_t now_ms);
void wy_queue_cancel (struct wy_queue *q, struct wy_queue_item *it,
                      int64_t now_ms);
struct wy_queue_item *wy_queue_expire (struct wy_queue *q, int64_t now_ms);
int64_t wy_queue_next_wakeup_ms (const struct wy_queue *q, int64_t now_ms);
void wy_queue_close (struct wy_queue *q);
bool wy_queue_empty (const struct wy_queue *q);
uint32_t wy_queue_expected_wait_ms (const struct wy_queue *q, int64_t now_ms);
uint32_t wy_queue_expected_run_ms (const struct wy_queue *q,
                                   const struct wy_queue_item *it);
void wy_queue_load (const struct wy_queue *q, int64_t now_ms,
                    struct wy_queue_load *out);

#endif
