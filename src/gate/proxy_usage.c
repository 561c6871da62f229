/* A request that is passed on counts once for its organisation, in the window
   in which the first target that may have run it got it.  */
#include "gate/proxy_state.h"

/* P is sent to a target.  */
void
wy_proxy_usage_sent (struct wy_proxied *p)
{
  if (p->env->usage && p->organisation && !p->usage_window)
    p->usage_window = wy_usage_begin (p->env->usage, p->organisation);
}

/* Targets have run P, or, unless BEGUN, none has.  */
void
wy_proxy_usage_settle (struct wy_proxied *p, bool begun)
{
  if (p->usage_window)
    wy_usage_end (p->env->usage, p->usage_window, p->organisation, begun);
  p->usage_window = 0;
}
