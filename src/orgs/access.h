/* Whether a caller may use a route, and for which organisation it acts.  */
#ifndef WY_ORGS_ACCESS_H
#define WY_ORGS_ACCESS_H

#include <stdbool.h>

#include "orgs/orgs.h"

/* The access key in a request.  */
enum wy_credential
{
  WY_CREDENTIAL_NONE,
  WY_CREDENTIAL_MALFORMED, /* not the Bearer scheme, or empty */
  WY_CREDENTIAL_MULTIPLE,  /* more than one Authorization field */
  WY_CREDENTIAL_KEY
};

enum wy_route_access
{
  WY_ROUTE_ACCESS_UNKNOWN, /* no such route */
  WY_ROUTE_ACCESS_PUBLIC,  /* no key needed */
  WY_ROUTE_ACCESS_KEY_REQUIRED
};

enum wy_access
{
  WY_ACCESS_ALLOW,
  WY_ACCESS_UNAUTHORIZED, /* 401: no valid key */
  WY_ACCESS_NO_ROUTE,     /* 404 */
  WY_ACCESS_CONFIG_STALE  /* 503: the configuration may be out of date */
};

struct wy_access_query
{
  const struct wy_orgs *orgs; /* NULL: the deployment has no organisations */
  enum wy_credential credential;
  const char *key; /* with WY_CREDENTIAL_KEY */
  enum wy_route_access route;
  bool config_is_current;
};

enum wy_access wy_access_check (const struct wy_access_query *q,
                                const struct wy_org **org);

#endif
