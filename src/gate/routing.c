/* Routing of callers' requests.  */
#include "gate/routing.h"

#include <string.h>
#include <strings.h>

static void
free_route (gpointer p)
{
  struct wy_route *r = p;

  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  for (guint i = 0; i < r->splits->len; i++)
    g_free (g_array_index (r->splits, struct wy_traffic_split, i).service);
  g_array_free (r->splits, TRUE);
  g_free (r);
}

static void
free_service (gpointer p)
{
  struct wy_service *s = p;

  g_free (s->name);
  g_ptr_array_free (s->models, TRUE);
  g_free (s);
}

/* Create an empty routing table.  */
struct wy_routing *
wy_routing_new (void)
{
  struct wy_routing *r = g_new0 (struct wy_routing, 1);

  r->routes = g_ptr_array_new_with_free_func (free_route);
  r->services = g_ptr_array_new_with_free_func (free_service);
  return r;
}

/* Free R, which may be NULL.  */
void
wy_routing_free (struct wy_routing *r)
{
  if (!r)
    return;
  g_ptr_array_free (r->routes, TRUE);
  g_ptr_array_free (r->services, TRUE);
  wy_orgs_free (r->orgs);
  g_free (r);
}

/* Add an empty route to R.  */
struct wy_route *
wy_routing_add_route (struct wy_routing *r)
{
  struct wy_route *t = g_new0 (struct wy_route, 1);

  t->splits = g_array_new (FALSE, FALSE, sizeof (struct wy_traffic_split));
  g_ptr_array_add (r->routes, t);
  return t;
}

/* Add an empty service to R.  */
struct wy_service *
wy_routing_add_service (struct wy_routing *r)
{
  struct wy_service *s = g_new0 (struct wy_service, 1);

  s->models = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (r->services, s);
  return s;
}

static gint
by_prefix_length (gconstpointer a, gconstpointer b)
{
  const struct wy_route *x = *(const struct wy_route *const *)a;
  const struct wy_route *y = *(const struct wy_route *const *)b;
  size_t m = strlen (x->prefix);
  size_t n = strlen (y->prefix);

  return m < n ? 1 : m > n ? -1 : 0;
}

/* Sort the routes of R into the order in which they are matched.  Call it once
   after all routes are added.  */
void
wy_routing_sort (struct wy_routing *r)
{
  g_ptr_array_sort (r->routes, by_prefix_length);
}

static bool
host_matches (const struct wy_route *r, const char *host)
{
  size_t n = strlen (r->host);

  /* A port after the name is ignored.  */
  return !strncasecmp (r->host, host, n)
         && (host[n] == '\0' || host[n] == ':');
}

/* The route of HOST with the longest prefix of PATH; NULL: none.  */
const struct wy_route *
wy_routing_match (const struct wy_routing *r, const char *host,
                  const char *path)
{
  for (guint i = 0; i < r->routes->len; i++)
    {
      const struct wy_route *t = g_ptr_array_index (r->routes, i);

      if (host_matches (t, host) && g_str_has_prefix (path, t->prefix))
        return t;
    }
  return NULL;
}

/* Whether jobs can be submitted at HOST without a key.  */
bool
wy_routing_has_public_jobs (const struct wy_routing *r, const char *host)
{
  for (guint i = 0; i < r->routes->len; i++)
    {
      const struct wy_route *t = g_ptr_array_index (r->routes, i);

      if (t->kind == WY_ROUTE_JOB && t->is_public && host_matches (t, host))
        return true;
    }
  return false;
}

/* The service named NAME; NULL: none.  */
const struct wy_service *
wy_routing_service (const struct wy_routing *r, const char *name)
{
  for (guint i = 0; i < r->services->len; i++)
    {
      const struct wy_service *s = g_ptr_array_index (r->services, i);

      if (!strcmp (s->name, name))
        return s;
    }
  return NULL;
}

/* Whether any service is autoscaled.  */
bool
wy_routing_has_autoscaled (const struct wy_routing *r)
{
  for (guint i = 0; i < r->services->len; i++)
    if (((const struct wy_service *)g_ptr_array_index (r->services, i))
            ->is_autoscaled)
      return true;
  return false;
}

/* Pick a service of R with a probability in proportion to its weight.  RANDOM
   is a uniformly distributed number.  */
const char *
wy_route_pick_service (const struct wy_route *r, uint32_t random)
{
  uint64_t total = 0;
  uint64_t at;

  for (guint i = 0; i < r->splits->len; i++)
    total += g_array_index (r->splits, struct wy_traffic_split, i).weight;
  if (total == 0)
    return g_array_index (r->splits, struct wy_traffic_split, 0).service;
  at = random % total;
  for (guint i = 0; i < r->splits->len; i++)
    {
      const struct wy_traffic_split *s
          = &g_array_index (r->splits, struct wy_traffic_split, i);

      if (at < s->weight)
        return s->service;
      at -= s->weight;
    }
  return g_array_index (r->splits, struct wy_traffic_split, 0).service;
}
