/* Whether a non-idempotent request may run here; pure, without I/O.  */
#ifndef WY_AGENT_AT_MOST_ONCE_H
#define WY_AGENT_AT_MOST_ONCE_H

#include <stdbool.h>
#include <stdint.h>

enum wy_once_verdict
{
  WY_ONCE_RUN,       /* may run now; not_run: it never did so far */
  WY_ONCE_SEEN,      /* began here */
  WY_ONCE_AGAIN,     /* a sending from before "not run" was said */
  WY_ONCE_TOO_OLD,   /* may have run before this incarnation's memory */
  WY_ONCE_TOO_NEW,   /* issue time ahead of the clock */
  WY_ONCE_NOT_HOME,  /* another target may have run it */
  WY_ONCE_NO_CONFIG, /* the home can't be told from what is known */
};

/* Zero means the default for every limit.  */
struct wy_once_options
{
  int64_t now_ms; /* wall time of the start of this incarnation */
  uint32_t clock_skew_ms;
  uint32_t cold_window_ms;
  uint32_t roster_trust_ms;
  uint32_t ids_max;
};

/* One sending of a request.  All times are wall times.  */
struct wy_once_ask
{
  uint64_t id;       /* hash of the request's identifier */
  int64_t issued_ms; /* 0: the key doesn't tell */
  int64_t sent_ms;   /* 0: not told */
  int64_t now_ms;
  int64_t config_confirmed_ms; /* 0: no configuration yet */
  bool home;                   /* by the configuration, for issued_ms */
  bool moved;           /* its home changed with the last change of members */
  int64_t effective_ms; /* of that change */
};

/* The list of members as a revision of the configuration gives it.  */
struct wy_once_members
{
  int64_t revision;
  int64_t effective_ms;
  uint64_t digest; /* of the members' names */
};

struct wy_once_answer
{
  enum wy_once_verdict verdict;
  bool not_run; /* proven, for good; else unknown */
};

struct wy_once;

struct wy_once *wy_once_new (const struct wy_once_options *o);
void wy_once_free (struct wy_once *o);
struct wy_once_answer wy_once_ask (struct wy_once *o,
                                   const struct wy_once_ask *a);
void wy_once_started (struct wy_once *o, const struct wy_once_ask *a);
void wy_once_denied (struct wy_once *o, const struct wy_once_ask *a);
void wy_once_learn (struct wy_once *o, const struct wy_once_members *m,
                    int64_t now_ms);
void wy_once_clock_stepped (struct wy_once *o, int64_t now_ms);
void wy_once_ended (struct wy_once *o, uint64_t id);
bool wy_once_has_ended (const struct wy_once *o, uint64_t id);

#endif
