/* Error responses to callers.  */
#ifndef WY_ENTRY_PROBLEM_H
#define WY_ENTRY_PROBLEM_H

#include "entry/state.h"

struct wy_problem
{
  enum wy_entry_reason reason;
  enum wy_ran ran;
  const char *request; /* request id, or NULL */
  const char *detail;  /* NULL: none */
  uint32_t retry_after_ms;
};

const char *wy_reason_name (enum wy_entry_reason reason);
enum wy_entry_reason wy_reason_of_refusal (enum wy_refusal_reason r);
bool wy_reason_is_retryable (enum wy_entry_reason reason);
char *wy_problem_text (const struct wy_problem *p);
void wy_problem_send (struct wy_http_exchange *ex, const struct wy_problem *p);

#endif
