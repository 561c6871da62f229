/* A wygated process beside stand-ins of the store and of one replica, which
   run on the loop of the test.  */
#ifndef WY_TESTS_GATE_PROCESS_H
#define WY_TESTS_GATE_PROCESS_H

#include "support/platform_fixture.h"

enum gate_listener
{
  GATE_CALLERS,
  GATE_READY,
  GATE_PEERS,
  GATE_METRICS,
  GATE_LISTENERS
};

struct gate_process_options
{
  uint32_t memory_mb;
  uint32_t descriptors;       /* limit of the process; 0: that of the test */
  uint32_t idle_timeout_ms;   /* of callers; 0: 15 s */
  uint32_t header_timeout_ms; /* 0: 3 s */
  uint32_t timeout_ms;        /* of the routes; 0: 8 s */
  const char *settings;       /* further lines of the settings; NULL: none */
  void (*on_request) (void *ctx, struct wy_h1_request *r); /* of the replica */
};

struct gate_process
{
  struct platform_fixture w;
  struct wy_h1_server *replica;
  GPid pid;
  uint16_t ports[GATE_LISTENERS];
  char *dir;
};

void gate_process_start (struct gate_process *g,
                         const struct gate_process_options *o);
void gate_process_stop (struct gate_process *g);
bool gate_process_lives (const struct gate_process *g);
void gate_process_list_replica (struct gate_process *g, const char *id,
                                uint16_t port);
struct platform_response *gate_process_call (struct gate_process *g,
                                             enum gate_listener listener,
                                             const char *method,
                                             const char *target,
                                             const char *id, const char *body);
struct platform_response *gate_process_await (struct gate_process *g,
                                              enum gate_listener listener,
                                              const char *target);
int64_t gate_process_metric (struct gate_process *g, const char *name);
void gate_process_respond (void *ctx, struct wy_h1_request *r);
void gate_process_check (struct gate_process *g, const char *load,
                         uint32_t memory_mb, uint32_t descriptors);
void process_limit_descriptors (gpointer data);
int64_t process_resident_peak_kb (GPid pid);
uint32_t process_descriptors (GPid pid);

#endif
