/* HTTP routes of an entry: a table of methods and paths with the role that
   each requires.  */
#include "entry/routes.h"

#include <string.h>

#include "entry/access.h"
#include "entry/callers.h"
#include "entry/outcomes.h"
#include "entry/problem.h"
#include "entry/status.h"
#include "entry/suspects.h"

struct route
{
  const char *method; /* NULL: any */
  const char *path;   /* a prefix when it ends with a slash */
  enum wy_role role;
  /* TAIL is the rest of the path after the prefix.  */
  void (*handle) (struct wy_entry *e, struct wy_http_exchange *ex,
                  const char *tail);
};

static void
completions (struct wy_entry *e, struct wy_http_exchange *ex, const char *tail)
{
  wy_completions_http (e, ex);
}

static void
services (struct wy_entry *e, struct wy_http_exchange *ex, const char *tail)
{
  wy_services_http (e, ex);
}

static void
outcome (struct wy_entry *e, struct wy_http_exchange *ex, const char *tail)
{
  wy_outcome_query_http (e, ex, tail);
}

static void
blocks (struct wy_entry *e, struct wy_http_exchange *ex, const char *tail)
{
  wy_suspect_list_http (e, ex);
}

static void
lift (struct wy_entry *e, struct wy_http_exchange *ex, const char *tail)
{
  wy_suspect_lift_http (e, ex, tail);
}

static void
not_found (struct wy_http_exchange *ex)
{
  struct wy_problem p = { .reason = WY_REASON_NOT_FOUND };

  wy_problem_send (ex, &p);
}

static void
yards (struct wy_entry *e, struct wy_http_exchange *ex, const char *tail)
{
  if (!e->hooks.yard_http || !e->hooks.yard_http (e->hooks.ctx, ex))
    not_found (ex);
}

static void
config (struct wy_entry *e, struct wy_http_exchange *ex, const char *tail)
{
  if (!e->hooks.config_http || !e->hooks.config_http (e->hooks.ctx, ex))
    not_found (ex);
}

static const struct route routes[] = {
  { "POST", "/v1/completions", WY_ROLE_CALLER, completions },
  { NULL, "/services/", WY_ROLE_CALLER, services },
  { "GET", "/v1/requests/", WY_ROLE_CALLER, outcome },
  { NULL, "/v1/yards/", WY_ROLE_TRAINER, yards },
  { NULL, "/v1/yards", WY_ROLE_TRAINER, yards },
  { NULL, "/v1/config", WY_ROLE_OPERATOR, config },
  { NULL, "/v1/plan", WY_ROLE_OPERATOR, config },
  { NULL, "/v1/apply", WY_ROLE_OPERATOR, config },
  { "GET", "/v1/blocks", WY_ROLE_OPERATOR, blocks },
  { "DELETE", "/v1/blocks/", WY_ROLE_OPERATOR, lift },
  { "POST", "/v1/targets/", WY_ROLE_OPERATOR, wy_status_target },
  { "GET", "/v1/status", WY_ROLE_OPERATOR, wy_status_http },
  { "GET", "/v1/events", WY_ROLE_OPERATOR, wy_status_events },
  /* Used by the platform's probes, which have no token.  */
  { "GET", "/metrics", WY_ROLE_CALLER, wy_status_metrics },
  { "GET", "/healthz", WY_ROLE_CALLER, wy_status_health },
  { "GET", "/readyz", WY_ROLE_CALLER, wy_status_ready },
};

static const char *
tail_of (const struct route *r, const char *path)
{
  size_t n = strlen (r->path);

  if (r->path[n - 1] == '/')
    return strncmp (path, r->path, n) ? NULL : path + n;
  return strcmp (path, r->path) ? NULL : "";
}

/* Route the request of EX.  */
void
wy_routes_http (struct wy_http_exchange *ex, void *entry)
{
  struct wy_entry *e = entry;
  const char *path = wy_http_path (ex);
  struct wy_problem headers = { .reason = WY_REASON_TOO_MANY_HEADERS };

  if (wy_http_header_count (ex) > (size_t)e->s->header_limit)
    {
      wy_problem_send (ex, &headers);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const struct route *r = &routes[i];
      const char *tail = tail_of (r, path);

      if (!tail || (r->method && strcmp (r->method, wy_http_method (ex)) != 0))
        continue;
      if (wy_access_check_role (e, ex, r->role))
        r->handle (e, ex, tail);
      return;
    }
  not_found (ex);
}
