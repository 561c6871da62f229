/* Several wygated processes and replicas, and callers whose request crashes
   each replica that runs it.  The replicas return some time after a crash.  */
#ifndef WY_TESTS_CRASH_FIXTURE_H
#define WY_TESTS_CRASH_FIXTURE_H

#include <sys/types.h>

#define CRASHING "crash-1"

#include "support/platform_fixture.h"

enum
{
  CRASH_GATES_MAX = 8,
  CRASH_REPLICAS_MAX = 3,
  CRASH_CALLERS = 6,
  /* The service's route lets this many replicas run one request.  */
  CRASH_ATTEMPTS = 2,
  /* From a crash to the next start of the replica, and until its row lapses:
     three intervals between its heartbeats.  */
  CRASH_DOWN_MS = 3100,
  CRASH_LAPSE_MS = 3600,
  /* Within this time of the third crash every entry must reject the request;
     then it may reach replicas this often at most.  */
  CRASH_KNOWN_MS = 3000,
  CRASH_LATE_RUNS_MAX = 3,
  CRASHES_ALLOWED = 3,
  CRASH_OBSERVED_MS = 2500
};

struct crash_gate
{
  pid_t pid;
  uint16_t callers;
  uint16_t ready;
  uint16_t peers;
  char *path; /* of the settings; its log is beside them */
};

struct crash_replica
{
  struct crash_fixture *fixture;
  struct wy_platform_replica *replica;
  uv_timer_t start;
  uv_timer_t lapse;
  char lapsing[32]; /* id whose row lapses */
  char id[2][32];   /* of the last two starts */
  uint32_t starts;
};

struct crash_options
{
  uint32_t gates;
  uint32_t replicas;
  uint32_t down_ms;
  bool keeps_id;    /* replicas return under the id that they had */
  const char *body; /* of the request; NULL: CRASHING */
  /* Of replicas that run the items of jobs, whose events take EVENT_MS; NULL:
     a plain service.  */
  const char *model;
  uint32_t event_ms;
  uint32_t events;
  /* Called when an item starts to run; may be NULL.  */
  void (*on_item) (const char *id);
};

struct crash_fixture
{
  struct platform_fixture w;
  struct crash_options o;
  struct crash_gate gates[CRASH_GATES_MAX];
  struct crash_replica replicas[CRASH_REPLICAS_MAX];
  struct platform_response *calls[CRASH_CALLERS];
  char *dir;
  uv_timer_t sender;
  uint32_t receivers; /* bit set of the gates that get the crashing request */
  uint32_t sent;
  uint32_t runs;
  uint32_t crashes;
  int64_t third_crash_ms;
  uint32_t late_runs; /* later than CRASH_KNOWN_MS after the third crash */
  /* Called at each crash; may be NULL.  */
  void (*on_crash) (struct crash_fixture *x);
  /* Called when a replica starts to run a request that doesn't crash it; may
     be NULL.  */
  void (*on_run) (struct crash_fixture *x);
};

void crash_fixture_start (struct crash_fixture *x,
                          const struct crash_options *o);
void crash_fixture_stop (struct crash_fixture *x);
void crash_fixture_launch (struct crash_fixture *x, uint32_t gate);
void crash_fixture_await_ready (struct crash_fixture *x, uint32_t gate);
void crash_fixture_kill (struct crash_fixture *x, uint32_t gate);
struct platform_response *crash_fixture_call (struct crash_fixture *x,
                                              uint32_t gate, const char *id,
                                              const char *body);
uint64_t crash_fixture_fingerprint (const char *body);
void crash_fixture_send (struct crash_fixture *x, uint32_t receivers);
void crash_fixture_hang_up (struct crash_fixture *x);
void crash_fixture_send_until_third_crash (struct crash_fixture *x,
                                           uint32_t receivers);
void crash_fixture_expect_rejected (struct crash_fixture *x);
void crash_fixture_expect_served (struct crash_fixture *x, const char *body);

#endif
