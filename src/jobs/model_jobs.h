/* The jobs of one model that run on this entry and share its replicas.  */
#ifndef WY_JOBS_MODEL_JOBS_H
#define WY_JOBS_MODEL_JOBS_H

#include "jobs/active_job.h"

double wy_model_jobs_slots (const struct wy_active_job *o,
                            const struct wy_route *route);
GPtrArray *wy_model_jobs_list (struct wy_active_job *o);
void wy_model_jobs_start_items (struct wy_active_job *o);

#endif
