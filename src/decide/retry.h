/* Retry budget shared by all requests of a client.  */
#ifndef WY_DECIDE_RETRY_H
#define WY_DECIDE_RETRY_H

#include <stdint.h>

struct wy_retry_options
{
  uint32_t percent; /* retries per 100 first attempts */
  uint32_t burst;   /* unused retries that may accumulate */
};

struct wy_retry_budget
{
  uint32_t percent;
  uint32_t cap_percent;       /* limit of available_percent */
  uint32_t available_percent; /* 100 per retry */
  uint64_t requests;
  uint64_t retries;
  uint64_t denied;
};

void wy_retry_init (struct wy_retry_budget *b,
                    const struct wy_retry_options *o);
void wy_retry_request (struct wy_retry_budget *b);
int wy_retry_take (struct wy_retry_budget *b);

#endif
