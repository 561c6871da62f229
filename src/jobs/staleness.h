/* Staleness that the jobs of a model allow: how many versions the weights may
   lag behind the newest.  Published by the entries that accept jobs, read by
   the orderers that schedule the loading of weights.  */
#ifndef WY_JOBS_STALENESS_H
#define WY_JOBS_STALENESS_H

#include "gate/env.h"

#define WY_STALENESS_TABLE "wy-lags"

struct wy_staleness;

struct wy_staleness *wy_staleness_new (struct wy_gate_env *env);
void wy_staleness_free (struct wy_staleness *l);
void wy_staleness_version_announced (struct wy_staleness *l, const char *model,
                                     int64_t version);
int64_t wy_staleness_newest_version (struct wy_staleness *l,
                                     const char *model);
void wy_staleness_job_accepted (struct wy_staleness *l, const char *model,
                                int64_t min_version);
uint32_t wy_staleness_allowed (const struct wy_rows_result *r);

#endif
