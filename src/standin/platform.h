/* Stand-in of a complete platform: store, replicas, operator, and a trainer
   and callers that record what they send and receive.  */
#ifndef WY_STANDIN_PLATFORM_H
#define WY_STANDIN_PLATFORM_H

#include "h1/client.h"
#include "standin/standin.h"
#include "standin/platform_duties.h"
#include "standin/platform_replica.h"
#include "standin/platform_store.h"

#define WY_PLATFORM_HOST "demo.example"
#define WY_PLATFORM_JOBS "/steps/"
#define WY_PLATFORM_CALLS "/desk/"
#define WY_PLATFORM_STREAMS "/talk/"
#define WY_PLATFORM_ONCE "/once/"
#define WY_PLATFORM_MODEL "model"
/* Organisations: of the callers, and of the trainer.  */
#define WY_PLATFORM_OFFICE "office"
#define WY_PLATFORM_OFFICE_KEY "office-key"
#define WY_PLATFORM_BANK "bank"
#define WY_PLATFORM_BANK_KEY "bank-key"
#define WY_PLATFORM_CALL_ID "call-"
#define WY_PLATFORM_PROBE_ID "probe-"
#define WY_PLATFORM_STREAM_ID "stream-"
#define WY_PLATFORM_ONCE_ID "once-"
/* Bodies of requests that crash replicas begin so.  */
#define WY_PLATFORM_CRASHING "crash-"

enum
{
  WY_PLATFORM_DIGEST_SIZE_BYTES = 17,
  WY_PLATFORM_ENGINES = 3,
  WY_PLATFORM_DESKS = 3,
  WY_PLATFORM_TALKERS = 3, /* replicas of streams */
  /* Desks with random faults; more would change the faults of each seed.  */
  WY_PLATFORM_FAULTY_DESKS = 2,
  WY_PLATFORM_SLOTS = 8,
  WY_PLATFORM_EVENTS = 12,
  WY_PLATFORM_STEP_ATTEMPTS = 3
};

/* Counts of the callers and the trainer.  */
struct wy_platform_stats
{
  uint32_t sent;
  uint32_t answered;
  uint32_t rejected;
  uint32_t failed;
  uint32_t steps;
  uint32_t results;
  uint32_t retries;
  uint32_t sent_after_faults; /* RECOVERY_MS after the random faults */
  uint32_t answered_after_faults;
  GPtrArray *violations; /* char * */
};

/* Callers whose request crashes replicas.  */
struct wy_platform_crasher
{
  const char *body; /* of the request; NULL: none is sent */
  uint32_t sent;
  uint32_t pending;
  uint32_t runs;      /* of BODY */
  uint32_t late_runs; /* once every entry must know of the crashes */
  uint64_t third_ms;  /* time of the third run; 0: not yet */
  bool must_be_known;
  struct wy_rng rng;
};

/* Callers of streams, and of requests that may run once.  */
struct wy_platform_streams
{
  struct wy_platform_replica *replicas[WY_PLATFORM_TALKERS];
  uint64_t recovers_ms[WY_PLATFORM_TALKERS];
  struct wy_rng rng;
  uint32_t sent;
  uint32_t complete;
  uint32_t resumed;   /* changes of the run within a stream */
  uint32_t calm_sent; /* RECOVERY_MS after the random faults */
  uint32_t calm_complete;
  uint32_t once_sent;
  GHashTable *ran; /* ids that have run once, or were promised not to run */
};

/* The row of a replica that has crashed.  */
struct wy_platform_lapse
{
  char id[32];     /* "": none */
  uint64_t due_ms; /* when it lapses, unless the replica has returned as ID */
};

struct wy_platform
{
  struct wy_standin *standin;
  struct wy_platform_store *store;
  struct wy_platform_duties *duties;
  struct wy_platform_replica *engines[WY_PLATFORM_ENGINES];
  struct wy_platform_replica *desks[WY_PLATFORM_DESKS];
  struct wy_h1_client *client;
  GArray *gates; /* struct sockaddr_in */
  struct wy_platform_stats stats;
  uint32_t updates;
  struct wy_platform_crasher crasher;
  struct wy_platform_streams streams;
  uint32_t next_gate;
  bool ending;
  bool faults_over;
  uint64_t random_faults_ms; /* duration of random faults; 0: fixed schedule */
  uint64_t step_limit_ms;
  uint64_t store_recovers_ms;
  struct wy_rng spoil_rng; /* of spoilt events */
  uint64_t engine_recovers_ms[WY_PLATFORM_ENGINES];
  uint64_t desk_recovers_ms[WY_PLATFORM_DESKS];
  struct wy_platform_lapse lapses[WY_PLATFORM_DESKS];
  bool in_crash_phase;     /* callers have stopped, nothing else fails */
  uint64_t crash_phase_ms; /* when it began */
};

/* One call of a caller or trainer.  ON_DONE gets its response.  */
struct wy_platform_call
{
  struct wy_platform *platform;
  int status;
  GString *body;
  double retry_after_s;
  struct wy_h1_call *call;
  uint32_t pause_ms;  /* for so long the response is not read; 0: at once */
  uv_timer_t *resume; /* at the end of the pause; NULL: not paused */
  void (*on_done) (struct wy_platform_call *c, int err);
  void *ctx;
  uint32_t number;
  uint32_t attempt;
  bool faults_over; /* when it was sent */
};

struct wy_platform_call *wy_platform_call (struct wy_platform *p,
                                           const char *method,
                                           const char *target, const char *id,
                                           const char *body);
struct wy_platform_call *
wy_platform_call_with_key (struct wy_platform *p, const char *method,
                           const char *target, const char *id,
                           const char *body, const char *key);
void wy_platform_violation (struct wy_platform *p, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void wy_platform_digest (const char *p, size_t n,
                         char out[WY_PLATFORM_DIGEST_SIZE_BYTES]);
void wy_platform_announce_version (struct wy_platform *p, int64_t version);

void wy_platform_update_faults (struct wy_platform *p, uint64_t age_ms);
void wy_platform_finish (struct wy_platform *p);
void wy_platform_operator_start (struct wy_platform *p);
void wy_platform_operator_stop_changes (struct wy_platform *p);
void wy_platform_callers_start (struct wy_platform *p);
void wy_platform_record_response (const struct wy_platform_call *c,
                                  const char *id, int err);
void wy_platform_trainer_start (struct wy_platform *p);
bool wy_platform_streams_open (struct wy_platform *p);
void wy_platform_streams_start (struct wy_platform *p);
void wy_platform_streams_ran (struct wy_platform *p, const char *request);
void wy_platform_streams_update_faults (struct wy_platform *p,
                                        uint64_t age_ms);
bool wy_platform_is_crashing (const char *body, size_t n);
void wy_platform_crasher_start (struct wy_platform *p);
void wy_platform_crasher_ran (struct wy_platform *p, const char *request,
                              const char *replica, const char *body, size_t n);
void wy_platform_crasher_begin_phase (struct wy_platform *p);

#endif
