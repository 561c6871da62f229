/* Authorization of a request.

   401 and 404 end a request for good: its caller does not try again.  They
   are given only by an entry whose configuration is known to be current;
   another may know a key or a route that was added a moment ago.  */
#include "orgs/access.h"

#include <stddef.h>

/* Decide on Q.  ORG is the organisation that the caller acts for, NULL if it
   has no valid key.  */
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
