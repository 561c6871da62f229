/* Whether a request may have run, given how an attempt at a target ended, and
   the status to return to the caller.  */
#ifndef WY_DECIDE_ATTEMPT_H
#define WY_DECIDE_ATTEMPT_H

#include <stdbool.h>

struct wy_attempt
{
  bool sent;       /* bytes of the request may have reached the target */
  bool complete;   /* a complete response was received */
  bool mismatched; /* the response is to another request or from another server
                    */
  bool not_run;    /* the response says that the request was not run */
  int status;      /* of the response; 0: none */
};

bool wy_attempt_may_have_run (const struct wy_attempt *a);
bool wy_attempt_is_unclear_refusal (const struct wy_attempt *a);
bool wy_attempt_status_implies_not_run (int status);
int wy_attempt_failure_status (bool may_have_run, bool late);

#endif
