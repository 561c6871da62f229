/* Decides whether a non-idempotent request may run here.  No I/O.  */
#ifndef WY_AGENT_AT_MOST_ONCE_H
#define WY_AGENT_AT_MOST_ONCE_H

#include <stdbool.h>
#include <stdint.h>

enum wy_at_most_once_verdict
{
  WY_AT_MOST_ONCE_RUN, /* may run now; with not_run: has not run so far */
  WY_AT_MOST_ONCE_DUPLICATE, /* already started here */
  WY_AT_MOST_ONCE_DELAYED,  /* an attempt sent before "not run" was reported */
  WY_AT_MOST_ONCE_TOO_OLD,  /* may have run before this memory began */
  WY_AT_MOST_ONCE_TOO_NEW,  /* issue time is in the future */
  WY_AT_MOST_ONCE_NOT_HOME, /* another target may have run it */
  WY_AT_MOST_ONCE_NO_CONFIG, /* the home can't be determined */
};

/* Zero selects the default of each limit.  */
struct wy_at_most_once_options
{
  int64_t now_ms; /* wall-clock time at the start of this incarnation */
  uint32_t clock_skew_ms;
  uint32_t cold_window_ms;
  uint32_t roster_trust_ms;
  uint32_t ids_max;
};

/* One attempt of a request.  All times are wall-clock times.  */
struct wy_at_most_once_attempt
{
  uint64_t id;       /* hash of the request identifier */
  int64_t issued_ms; /* 0: the key contains none */
  int64_t sent_ms;   /* 0: unknown */
  int64_t now_ms;
  int64_t config_confirmed_ms; /* 0: no configuration yet */
  bool is_home;                /* this target is the home, for issued_ms */
  bool home_changed;           /* the last change of the members changed it */
  int64_t effective_ms;        /* when that change takes effect */
};

/* The member list in a revision of the configuration.  */
struct wy_at_most_once_members
{
  int64_t revision;
  int64_t effective_ms;
  uint64_t digest; /* hash of the members' names */
};

struct wy_at_most_once_decision
{
  enum wy_at_most_once_verdict verdict;
  bool not_run; /* proven, and stays true; otherwise unknown */
};

struct wy_at_most_once;

struct wy_at_most_once *
wy_at_most_once_new (const struct wy_at_most_once_options *o);
void wy_at_most_once_free (struct wy_at_most_once *o);
struct wy_at_most_once_decision
wy_at_most_once_check (struct wy_at_most_once *o,
                       const struct wy_at_most_once_attempt *a);
void wy_at_most_once_started (struct wy_at_most_once *o,
                              const struct wy_at_most_once_attempt *a);
void
wy_at_most_once_reported_not_run (struct wy_at_most_once *o,
                                  const struct wy_at_most_once_attempt *a);
void wy_at_most_once_set_members (struct wy_at_most_once *o,
                                  const struct wy_at_most_once_members *m,
                                  int64_t now_ms);
void wy_at_most_once_clock_stepped (struct wy_at_most_once *o, int64_t now_ms);
void wy_at_most_once_completed (struct wy_at_most_once *o, uint64_t id);
bool wy_at_most_once_has_completed (const struct wy_at_most_once *o,
                                    uint64_t id);

#endif
