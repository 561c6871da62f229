/* Invariants of the service, verified from a timeline alone.  */
#ifndef WY_CHECK_CHECK_H
#define WY_CHECK_CHECK_H

#include <stdint.h>

#include "check/timeline.h"

/* A case in which a timeline violates an invariant.  */
struct wy_violation
{
  const char *invariant;
  char *text; /* what is wrong, and the events that show it */
};

struct wy_check
{
  const struct wy_timeline *timeline;
  GPtrArray *violations; /* struct wy_violation */
};

struct wy_invariant
{
  const char *name;
  const char *statement;
  void (*verify) (struct wy_check *c);
};

extern const struct wy_invariant wy_invariants[];
extern const size_t wy_n_invariants;

void wy_check_run (struct wy_check *c, const struct wy_timeline *t);
void wy_check_free (struct wy_check *c);

#endif
