/* Outcome of a request, queried by its identifier.  */
#ifndef WY_ENTRY_OUTCOMES_H
#define WY_ENTRY_OUTCOMES_H

#include "entry/state.h"

struct wy_outcomes;

struct wy_outcomes *wy_outcomes_new (void);
void wy_outcomes_free (struct wy_outcomes *o);
void wy_outcome_record (const struct wy_request *r, enum wy_ran ran,
                        const char *state);
void wy_outcome_frame (struct wy_peer *p, const struct wy_frame_end *f);
void wy_outcome_query_http (struct wy_entry *e, struct wy_http_exchange *ex,
                            const char *id);
void wy_outcome_sweep (struct wy_entry *e, int64_t now_ms);

#endif
