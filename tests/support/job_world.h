/* An entry that runs jobs, against stand-ins of the platform.  */
#ifndef TESTS_JOB_WORLD_H
#define TESTS_JOB_WORLD_H

#include <jansson.h>

#include "support/platform_world.h"

enum
{
  JOB_ITEMS = 6,
  JOB_EVENTS = 6
};

/* One entry: its jobs and the door to them.  */
struct job_entry
{
  struct wy_members *members;
  struct wy_jobs *jobs;
  struct wy_h1_server *server;
};

extern struct platform_world job_world;
extern struct job_entry job_entry;
/* Of the entry that starts next; 0: no limit.  */
extern uint64_t job_memory_bytes;
extern const char *job_organisation; /* that callers act for; "": none */

void job_world_start_entry (void);
void job_world_stop_entry (void);
void job_world_start (int replicas);
void job_world_stop (void);
char *job_world_body (int64_t min_version);
char *job_world_scored_body (const char *host, const char *body);
int job_world_submit_body (const char *id, const char *body);
struct platform_answer *job_world_call (const char *method, const char *target,
                                        const char *id, const char *body);
int job_world_submit (const char *id, int64_t min_version);
int job_world_status (const char *method, const char *target);
json_t *job_world_result (const char *job, uint32_t n);
json_t *job_world_await (const char *job, uint32_t n);
const char *job_world_text (json_t *r, const char *key);
void job_world_check_all (const char *job);
uint32_t job_world_listed (const char *job);

#endif
