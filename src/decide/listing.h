/* When the results of a job are listed for its trainer to read.  */
#ifndef WY_DECIDE_LISTING_H
#define WY_DECIDE_LISTING_H

#include <stdbool.h>
#include <stdint.h>

struct wy_listing_options
{
  uint32_t items;           /* of the job */
  uint32_t results;         /* known, listed or not */
  uint32_t complete_groups; /* whose results are all known */
  uint32_t wanted_groups;   /* that the trainer needs to go on; 0: not given */
  int64_t age_ms;           /* of the job */
  int64_t due_ms;           /* all results are due at this age; 0: never */
  bool exceeds_capacity;    /* not all of the job's groups can be on time */
  bool stopping;            /* the job is being handed off to another entry */
};

bool wy_listing_is_deferred (const struct wy_listing_options *o);

#endif
