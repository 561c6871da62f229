/* A small deployment of real programs: table, instance list, three engines,
   three services, their agents, and two entries.  */
#ifndef WY_TESTS_DEPLOYMENT_H
#define WY_TESTS_DEPLOYMENT_H

#include <stdbool.h>

#include <glib.h>

#include "proc.h"

#define DEPLOYMENT_TARGETS 3
#define DEPLOYMENT_ENTRIES 2

enum deployment_program
{
  DEPLOYMENT_TABLE,
  DEPLOYMENT_LIST,
  DEPLOYMENT_ENGINE, /* one per target */
  DEPLOYMENT_SERVICE = DEPLOYMENT_ENGINE + DEPLOYMENT_TARGETS, /* likewise */
  DEPLOYMENT_MODEL_AGENT = DEPLOYMENT_SERVICE + DEPLOYMENT_TARGETS,
  DEPLOYMENT_SERVICE_AGENT = DEPLOYMENT_MODEL_AGENT + DEPLOYMENT_TARGETS,
  DEPLOYMENT_ENTRY = DEPLOYMENT_SERVICE_AGENT + DEPLOYMENT_TARGETS,
  DEPLOYMENT_PROGRAMS = DEPLOYMENT_ENTRY + DEPLOYMENT_ENTRIES
};

struct test_deployment
{
  struct wy_proc proc[DEPLOYMENT_PROGRAMS];
  const char *entry_settings; /* further lines; NULL: none */
  bool running[DEPLOYMENT_PROGRAMS];
  uint16_t table;
  uint16_t list;
  uint16_t entry[DEPLOYMENT_ENTRIES];
  char *dir; /* of the timelines, until they are checked */
  uint32_t n_timelines;
  GString *driver; /* timeline of the test itself */
  uint32_t driver_seq;
};

void deployment_start (struct test_deployment *d);
void deployment_start_with (struct test_deployment *d,
                            const char *entry_settings);
/* Start entry I, also after a kill.  */
void deployment_start_entry (struct test_deployment *d, uint32_t i);
void deployment_restart_agent (struct test_deployment *d, int i);
void deployment_wait_ready (struct test_deployment *d, uint32_t i);
void deployment_kill (struct test_deployment *d, int program);
void deployment_inject_fault (const struct test_deployment *d, int program,
                              const char *fault);
/* Stop all programs and check the invariants on their timelines.  */
void deployment_stop_and_check (struct test_deployment *d);
char *deployment_post (const struct test_deployment *d, uint32_t entry,
                       const char *path, const char *body,
                       const struct wy_http_header_field *headers,
                       int *status);
size_t deployment_count_events (const struct test_deployment *d, int program,
                                const char *event);

#endif
