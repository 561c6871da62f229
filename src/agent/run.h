/* Runs: one execution of a request each, from acceptance until the result is
   discarded.  */
#ifndef WY_AGENT_RUN_H
#define WY_AGENT_RUN_H

#include "agent/state.h"

struct wy_run *wy_agent_run_new (struct wy_agent *a,
                                 const struct wy_frame_submit *s);
struct wy_run *wy_agent_run_find (const struct wy_agent *a,
                                  struct wy_bytes id);
void wy_agent_run_free (struct wy_run *r);
void wy_agent_run_sent (struct wy_run *r);
void wy_agent_run_head (struct wy_run *r, int status,
                        const struct wy_http_header_field *headers, size_t n);
void wy_agent_run_output (struct wy_run *r, const void *p, size_t n);
void wy_agent_run_output_grew (struct wy_run *r, size_t before);
void wy_agent_run_end (struct wy_run *r, enum wy_run_result result,
                       enum wy_ran ran);
void wy_agent_run_reject (struct wy_run *r, enum wy_refusal_reason reason,
                          uint32_t retry_after_ms);
void wy_agent_run_acked (struct wy_run *r);
void wy_agent_run_outcome (const struct wy_run *r, enum wy_frame_kind kind,
                           struct wy_frame *f);
bool wy_agent_run_is_settled (const struct wy_run *r);
bool wy_agent_evict_results (struct wy_agent *a);
void wy_agent_runs_sweep (struct wy_agent *a, int64_t now_ms);

#endif
