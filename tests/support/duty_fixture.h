/* Entries that share the duties, against stand-ins of the platform.  */
#ifndef TESTS_DUTY_WORLD_H
#define TESTS_DUTY_WORLD_H

#include "duties/usage.h"
#include "standin/platform_duties.h"
#include "support/platform_fixture.h"

enum
{
  DUTY_LEASE_MS = 600,
  DUTY_WINDOW_MS = 400,
  DUTY_REPORT_DEADLINE_MS = 4000
};

/* One entry: what it counts and whether it may act.  */
struct duty_entry
{
  struct wy_clock clock; /* must stay first */
  int64_t suspended_ms;  /* that the monotonic time has not counted */
  char holder[32];
  char platform[32]; /* address */
  struct wy_election *election;
  struct wy_duty_calls *calls;
  struct wy_usage *usage;
  struct wy_h1_client *http;
  struct wy_rows *rows;
  bool is_candidate;
  int64_t newest_complete_window; /* told by this entry */
  const struct duty_entry *peer;
  bool alive;
};

extern struct platform_fixture duty_fixture;
extern struct wy_platform_duties *duty_platform;

void duty_fixture_start (void);
void duty_fixture_stop (void);
void duty_entry_start (struct duty_entry *e, const char *node);
void duty_entry_kill (struct duty_entry *e);
bool duty_entry_is_leader (void *entry);

#endif
