/* Authorization of a request.

   Callers don't retry after 401 and 404.  So an entry sends them only while
   its configuration is known to be current; otherwise the key or the route may
   have been added in a newer one, and the response is 503.  */
#include "orgs/access.h"

#include <stddef.h>

/* Check the request described by Q.  ORG is set to the organisation that the
   caller acts for, or NULL if it has no valid key.  */
enum wy_access
wy_access_check (const struct wy_access_query *q, const struct wy_org **org)
{
  bool authorized;

  *org = q->orgs && q->credential == WY_CREDENTIAL_KEY
             ? wy_orgs_find_key (q->orgs, q->key)
             : NULL;
  authorized = !q->orgs || *org || q->route == WY_ROUTE_ACCESS_PUBLIC;
  if (authorized && q->route != WY_ROUTE_ACCESS_UNKNOWN)
    return WY_ACCESS_ALLOW;
  if (!q->config_is_current)
    return WY_ACCESS_CONFIG_STALE;
  return authorized ? WY_ACCESS_NO_ROUTE : WY_ACCESS_UNAUTHORIZED;
}
