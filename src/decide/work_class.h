/* Classes of requests.  */
#ifndef WY_DECIDE_WORK_CLASS_H
#define WY_DECIDE_WORK_CLASS_H

/* Number of streams on an engine with which a caller still gets its tokens
   fast enough: (8 + 0.25 * 9) ms per token is 1.22 times the time alone.
   Agents limit rollouts to it while callers are present; entries use it to
   estimate how many rollouts a caller displaces.  */
#define WY_SHARED_STREAMS_MAX 9

enum wy_work_class
{
  WY_CLASS_INTERACTIVE,
  WY_CLASS_NON_IDEMPOTENT,
  WY_CLASS_ROLLOUT,
};

#endif
