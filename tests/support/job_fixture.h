/* An entry that runs jobs, with stand-ins of the platform.  */
#ifndef WY_TESTS_JOB_FIXTURE_H
#define WY_TESTS_JOB_FIXTURE_H

#include <jansson.h>

#include "support/platform_fixture.h"

enum
{
  JOB_ITEMS = 6,
  JOB_EVENTS = 6
};

/* One entry: its jobs and the server that callers use.  */
struct job_entry
{
  struct wy_members *members;
  struct wy_jobs *jobs;
  struct wy_h1_server *server;
};

extern struct platform_fixture job_fixture;
extern struct job_entry job_entry;
/* Limit for the next entry that is started; 0: none.  */
extern uint64_t job_memory_limit_bytes;
extern bool job_shares_by_demand;    /* set before the entry starts */
extern const char *job_organisation; /* of the callers; "": none */

void job_fixture_start_entry (void);
void job_fixture_stop_entry (void);
void job_fixture_start (int replicas);
void job_fixture_stop (void);
char *job_fixture_body (int64_t min_version);
char *job_fixture_scored_body (const char *host, const char *body);
int job_fixture_submit_body (const char *id, const char *body);
struct platform_response *job_fixture_call (const char *method,
                                            const char *target, const char *id,
                                            const char *body);
int job_fixture_submit (const char *id, int64_t min_version);
int job_fixture_status (const char *method, const char *target);
json_t *job_fixture_result (const char *job, uint32_t n);
json_t *job_fixture_await_result (const char *job, uint32_t n);
const char *job_fixture_string (json_t *r, const char *key);
void job_fixture_check_results (const char *job);
uint32_t job_fixture_count_results (const char *job);

#endif
