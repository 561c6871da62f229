/* Stand-in of a whole platform: its store, replicas, operator, a trainer and
   callers, which keep books of what they sent and got.  */
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
#define WY_PLATFORM_MODEL "model"
/* Organisations: of the callers, and of the trainer.  */
#define WY_PLATFORM_OFFICE "office"
#define WY_PLATFORM_OFFICE_KEY "office-key"
#define WY_PLATFORM_BANK "bank"
#define WY_PLATFORM_BANK_KEY "bank-key"
#define WY_PLATFORM_CALL_ID "call-"
#define WY_PLATFORM_PROBE_ID "probe-"

enum
{
  WY_PLATFORM_DIGEST_SIZE_BYTES = 17,
  WY_PLATFORM_ENGINES = 3,
  WY_PLATFORM_DESKS = 2,
  WY_PLATFORM_SLOTS = 8,
  WY_PLATFORM_EVENTS = 12,
  WY_PLATFORM_STEP_ATTEMPTS = 3
};

/* What callers and the trainer have seen.  */
struct wy_platform_books
{
  uint32_t sent;
  uint32_t answered;
  uint32_t refused;
  uint32_t failed;
  uint32_t steps;
  uint32_t results;
  uint32_t retries;
  uint32_t calm_sent; /* once faults by chance are over */
  uint32_t calm_answered;
  GPtrArray *violations; /* char * */
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
  struct wy_platform_books books;
  uint32_t beats;
  uint32_t next_gate;
  bool ending;
  bool calm;
  uint64_t chance_ms; /* faults come by chance for so long; 0: they do not */
  uint64_t step_limit_ms;
  uint64_t store_well_ms;
  uint64_t engine_well_ms[WY_PLATFORM_ENGINES];
  uint64_t desk_well_ms[WY_PLATFORM_DESKS];
};

/* One call of a caller or trainer; its answer is given to ON_DONE.  */
struct wy_platform_call
{
  struct wy_platform *platform;
  int status;
  GString *body;
  double retry_after_s;
  void (*on_done) (struct wy_platform_call *c, int err);
  void *ctx;
  uint32_t number;
  uint32_t tries;
  bool calm;
};

struct wy_platform_call *wy_platform_call (struct wy_platform *p,
                                           const char *method,
                                           const char *target, const char *id,
                                           const char *body);
struct wy_platform_call *
wy_platform_call_keyed (struct wy_platform *p, const char *method,
                        const char *target, const char *id, const char *body,
                        const char *key);
void wy_platform_violation (struct wy_platform *p, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void wy_platform_digest (const char *p, size_t n,
                         char out[WY_PLATFORM_DIGEST_SIZE_BYTES]);
void wy_platform_name_version (struct wy_platform *p, int64_t version);

void wy_platform_set_faults (struct wy_platform *p, uint64_t age_ms);
void wy_platform_finish (struct wy_platform *p);
void wy_platform_operator_start (struct wy_platform *p);
void wy_platform_operator_rest (struct wy_platform *p);
void wy_platform_callers_start (struct wy_platform *p);
void wy_platform_trainer_start (struct wy_platform *p);

#endif
