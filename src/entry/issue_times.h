/* Issue times of keys that tell none.  */
#ifndef WY_ENTRY_ISSUE_TIMES_H
#define WY_ENTRY_ISSUE_TIMES_H

#include "entry/state.h"

struct wy_issue_rows;

struct wy_issue_rows *wy_issue_rows_new (struct wy_entry *e);
void wy_issue_rows_free (struct wy_issue_rows *s);
void wy_issue_rows_sweep (struct wy_issue_rows *s);
bool wy_issue_rows_wanted (const struct wy_request *r);
void wy_issue_rows_ask (struct wy_issue_rows *s, struct wy_request *r);

#endif
