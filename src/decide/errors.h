/* Error codes of the decision modules.  */
#ifndef WY_DECIDE_ERRORS_H
#define WY_DECIDE_ERRORS_H

enum wy_decide_error
{
  WY_DECIDE_ENONE = -1,   /* no target can accept the request */
  WY_DECIDE_EFULL = -2,   /* the table has no free slot */
  WY_DECIDE_ERANGE = -3,  /* an index or option is out of range */
  WY_DECIDE_EBUDGET = -4, /* the retry budget is exhausted */
  WY_DECIDE_ESTATE = -5,  /* the call is invalid in this state */
};

#endif
