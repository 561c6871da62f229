/* The score of an item's text: asked of the service that its submitter
   names, when the text is whole.  */
#ifndef WY_JOBS_SCORE_H
#define WY_JOBS_SCORE_H

#include "jobs/active_job.h"

struct wy_score *wy_score_new (struct wy_item *i);
void wy_score_pause (struct wy_score *s);
void wy_score_free (struct wy_score *s);
void wy_score_check (struct wy_score *s);
void wy_scores_pump (struct wy_owned *o);
const struct wy_route *wy_scorer_route (const struct wy_routing *r,
                                        const struct wy_scorer_spec *s);

#endif
