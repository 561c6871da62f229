/* Kinds of work that the decisions tell apart.  */
#ifndef WY_DECIDE_WORK_CLASS_H
#define WY_DECIDE_WORK_CLASS_H

/* Streams on an engine beside which a caller still gets its tokens at an
   acceptable pace: (8 + 0.25 * 9) ms a token are 1.22 times what it gets
   alone.  Agents hold rollouts to it while callers are present; entries know
   by it how much of a target callers take from rollouts.  */
#define WY_SHARED_STREAMS 9

enum wy_work_class
{
  WY_CLASS_INTERACTIVE,
  WY_CLASS_NON_IDEMPOTENT,
  WY_CLASS_ROLLOUT,
};

#endif
