/* The stop of an entry: what it still takes, which connections it closes and
   when it ends.  Does no input or output; the time is passed in.  */
#ifndef WY_DECIDE_STOP_H
#define WY_DECIDE_STOP_H

#include <stdbool.h>
#include <stdint.h>

struct wy_stop
{
  int64_t since_ms; /* since the stop was requested */
  int64_t grace_ms; /* from the request until the process is killed */
};

/* A request that has reached the entry.  */
struct wy_stop_request
{
  /* It ends with an answer even if the entry has to give it up, and its caller
     may send it again.  */
  bool is_repeatable;
  int64_t limit_ms;   /* by which it has its answer; 0: none */
  int64_t typical_ms; /* that such requests take; 0: not known */
};

/* What the entry has not finished.  */
struct wy_stop_work
{
  uint32_t connections; /* with a request, or an answer not sent yet */
  uint32_t jobs;
  bool has_left; /* other entries take over its jobs */
};

enum wy_stop_step
{
  WY_STOP_GO_ON,
  WY_STOP_LEAVE,      /* let other entries take over the jobs */
  WY_STOP_END_IDLE,   /* nothing is left to do */
  WY_STOP_END_OF_TIME /* what is left is cut off */
};

bool wy_stop_admits (const struct wy_stop *s, const struct wy_stop_request *r);
bool wy_stop_closes_idle (const struct wy_stop *s, int64_t idle_ms);
bool wy_stop_gives_up (const struct wy_stop *s);
enum wy_stop_step wy_stop_next (const struct wy_stop *s,
                                const struct wy_stop_work *w);

#endif
