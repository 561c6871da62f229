/* Entries that elect a leader for the duties, with stand-ins of the
   platform.  */
#ifndef WY_TESTS_DUTY_FIXTURE_H
#define WY_TESTS_DUTY_FIXTURE_H

#include "duties/usage.h"
#include "standin/platform_duties.h"
#include "support/platform_fixture.h"

enum
{
  DUTY_LEASE_MS = 600,
  DUTY_WINDOW_MS = 400,
  DUTY_REPORT_DEADLINE_MS = 4000
};

/* One entry and the state that the test controls.  */
struct duty_entry
{
  struct wy_clock clock; /* must stay first */
  int64_t suspended_ms;  /* included in the boot time only */
  char holder[32];
  char platform[32]; /* host:port */
  struct wy_election *election;
  struct wy_duty_calls *calls;
  struct wy_usage *usage;
  struct wy_h1_client *http;
  struct wy_rows *rows;
  bool is_candidate;
  int64_t newest_complete_window; /* as published by this entry */
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
