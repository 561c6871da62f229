/* The score of an item's text, requested from the service that its submitter
   names when the text is complete.  */
#ifndef WY_JOBS_SCORE_H
#define WY_JOBS_SCORE_H

#include "jobs/active_job.h"

struct wy_score *wy_score_new (struct wy_item *i);
void wy_score_cancel_calls (struct wy_score *s);
void wy_score_free (struct wy_score *s);
void wy_score_check_calls (struct wy_score *s);
void wy_scores_start_calls (struct wy_active_job *o);
const struct wy_route *wy_scorer_route (const struct wy_routing *r,
                                        const struct wy_scorer_spec *s);

#endif
