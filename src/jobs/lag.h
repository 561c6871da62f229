/* How far behind the newest weights the jobs of a model may lie: told by the
   entries that accept them, read by those who load weights.  */
#ifndef WY_JOBS_LAG_H
#define WY_JOBS_LAG_H

#include "gate/env.h"

#define WY_LAG_TABLE "wy-lags"

struct wy_lags;

struct wy_lags *wy_lags_new (struct wy_gate_env *env);
void wy_lags_free (struct wy_lags *l);
void wy_lags_named (struct wy_lags *l, const char *model, int64_t version);
int64_t wy_lags_newest (struct wy_lags *l, const char *model);
void wy_lags_accepted (struct wy_lags *l, const char *model,
                       int64_t min_version);
uint32_t wy_lag_of (const struct wy_rows_result *r);

#endif
