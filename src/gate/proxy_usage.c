/* Usage of forwarded requests.  Each counts once for its organisation, in the
   window in which it was sent to the first target that may have run it.  */
#include "gate/proxy_state.h"

/* Count P, which is sent to a target, unless it is counted already.  */
void
wy_proxy_usage_begin (struct wy_proxy_request *p)
{
  if (p->env->usage && p->organisation && !p->usage_window)
    p->usage_window = wy_usage_begin (p->env->usage, p->organisation);
}

/* Finish counting P.  The count is undone unless P HAS_RUN on some target.  */
void
wy_proxy_usage_end (struct wy_proxy_request *p, bool has_run)
{
  if (p->usage_window)
    wy_usage_end (p->env->usage, p->usage_window, p->organisation, has_run);
  p->usage_window = 0;
}
