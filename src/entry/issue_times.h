/* Issue times for idempotency keys that don't encode one.  */
#ifndef WY_ENTRY_ISSUE_TIMES_H
#define WY_ENTRY_ISSUE_TIMES_H

#include "entry/state.h"

struct wy_issue_times;

struct wy_issue_times *wy_issue_times_new (struct wy_entry *e);
void wy_issue_times_free (struct wy_issue_times *s);
void wy_issue_times_sweep (struct wy_issue_times *s);
bool wy_issue_times_should_assign (const struct wy_request *r);
void wy_issue_times_assign (struct wy_issue_times *s, struct wy_request *r);

#endif
