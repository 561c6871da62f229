/* Stand-in of the platform API for duties: usage reports and scaling.  */
#include "standin/platform_duties.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

struct subject
{
  int64_t generation;
  char *holder;
};

struct wy_platform_duties
{
  uv_loop_t *loop;
  struct wy_h1_server *server;
  struct wy_platform_duties_faults faults;
  GHashTable *subjects; /* struct subject by name */
  GHashTable *reports;  /* json_t * by window */
  GHashTable *replicas; /* int64_t * by "service/zone" */
  GPtrArray *violations;
  uint32_t calls;
};

static void
free_subject (gpointer p)
{
  struct subject *s = p;

  g_free (s->holder);
  g_free (s);
}

static void
free_json (gpointer p)
{
  json_decref (p);
}

static void
add_violation (struct wy_platform_duties *d, const char *what,
               const char *subject, int64_t generation)
{
  g_ptr_array_add (d->violations,
                   g_strdup_printf ("%s: %s, generation %lld", subject, what,
                                    (long long)generation));
}

/* Check that GENERATION of SUBJECT has not decreased and has one HOLDER.  */
static void
check_holder (struct wy_platform_duties *d, const char *subject,
              const char *holder, int64_t generation)
{
  struct subject *s = g_hash_table_lookup (d->subjects, subject);

  if (!s)
    {
      s = g_new0 (struct subject, 1);
      g_hash_table_insert (d->subjects, g_strdup (subject), s);
    }
  if (generation < s->generation)
    add_violation (d, "lower than a previous one", subject, generation);
  if (generation == s->generation && strcmp (s->holder, holder) != 0)
    add_violation (d, "used by two holders", subject, generation);
  if (generation >= s->generation)
    {
      s->generation = generation;
      g_free (s->holder);
      s->holder = g_strdup (holder);
    }
}

static int
handle_usage (struct wy_platform_duties *d, json_t *doc, const char *holder,
              int64_t generation)
{
  json_t *window = json_object_get (doc, "window");
  json_t *counts = json_object_get (doc, "counts");
  char *key;
  json_t *previous;

  if (!json_is_integer (window) || json_integer_value (window) < 0
      || !json_is_object (counts))
    return 400;
  check_holder (d, "usage", holder, generation);
  key = g_strdup_printf ("%lld", (long long)json_integer_value (window));
  previous = g_hash_table_lookup (d->reports, key);
  if (!previous)
    {
      g_hash_table_insert (d->reports, key, json_incref (counts));
      return 200;
    }
  if (!json_equal (previous, counts))
    add_violation (d, "reported again with other counts", key, generation);
  g_free (key);
  return 200;
}

static int
handle_scale (struct wy_platform_duties *d, json_t *doc, const char *holder,
              int64_t generation)
{
  const char *service = json_string_value (json_object_get (doc, "service"));
  const char *zone = json_string_value (json_object_get (doc, "zone"));
  json_t *desired = json_object_get (doc, "desiredCount");
  char *key;
  int64_t *n;

  if (!service || !zone || !json_is_integer (desired))
    return 400;
  key = g_strdup_printf ("%s/%s", service, zone);
  check_holder (d, key, holder, generation);
  n = g_new (int64_t, 1);
  *n = json_integer_value (desired);
  g_hash_table_replace (d->replicas, key, n);
  return 200;
}

static int
handle (struct wy_platform_duties *d, struct wy_h1_request *r)
{
  const struct wy_h1_head *head = wy_h1_head (r);
  const char *holder = wy_h1_head_get (head, "Duty-Holder");
  const char *generation = wy_h1_head_get (head, "Fencing-Token");
  size_t n;
  const char *body = wy_h1_body (r, &n);
  json_t *doc = json_loadb (body, n, 0, NULL);
  int status = 404;

  if (!holder || !generation || !doc)
    status = 400;
  else if (!strcmp (wy_h1_target (r), "/usage"))
    status = handle_usage (d, doc, holder, strtoll (generation, NULL, 10));
  else if (!strcmp (wy_h1_target (r), "/scale"))
    status = handle_scale (d, doc, holder, strtoll (generation, NULL, 10));
  json_decref (doc);
  return status;
}

static bool
take_fault (uint32_t *n)
{
  if (!*n)
    return false;
  (*n)--;
  return true;
}

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  struct wy_platform_duties *d = ctx;
  struct wy_platform_duties_faults *f = &d->faults;
  int status;

  d->calls++;
  if (f->silent)
    return;
  if (take_fault (&f->respond_503))
    {
      wy_h1_respond (r, 503, NULL, 0, "", 0);
      return;
    }
  if (take_fault (&f->respond_429))
    {
      wy_h1_respond (r, 429, NULL, 0, "", 0);
      return;
    }
  status = handle (d, r);
  if (!take_fault (&f->lose_response))
    wy_h1_respond (r, status, NULL, 0, "", 0);
}

/* Start a stand-in that listens on PORT, or on any free port if 0.  Return
   NULL if the port is in use.  */
struct wy_platform_duties *
wy_platform_duties_new (uv_loop_t *loop, uint16_t port)
{
  struct wy_platform_duties *d = g_new0 (struct wy_platform_duties, 1);
  struct wy_h1_server_options o
      = { .loop = loop,
          .host = "127.0.0.1",
          .port = port,
          .limits = { 65536, 1 << 20, 5000, 60000, 1 << 24 },
          .on_request = on_request,
          .ctx = d };

  d->loop = loop;
  d->subjects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_subject);
  d->reports
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_json);
  d->replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  d->violations = g_ptr_array_new_with_free_func (g_free);
  if (wy_h1_server_new (&d->server, &o))
    {
      g_free (d);
      return NULL;
    }
  return d;
}

/* Close D.  The loop must run afterwards until its handles are closed.  */
void
wy_platform_duties_free (struct wy_platform_duties *d)
{
  wy_h1_server_free (d->server);
  g_hash_table_destroy (d->subjects);
  g_hash_table_destroy (d->reports);
  g_hash_table_destroy (d->replicas);
  g_ptr_array_free (d->violations, TRUE);
}

/* Return the port that D listens on.  */
uint16_t
wy_platform_duties_port (const struct wy_platform_duties *d)
{
  return wy_h1_server_port (d->server);
}

/* Return the injected faults of D, which may be changed at any time.  */
struct wy_platform_duties_faults *
wy_platform_duties_faults (struct wy_platform_duties *d)
{
  return &d->faults;
}

/* Return the number of calls received, rejected ones included.  */
uint32_t
wy_platform_duties_calls (const struct wy_platform_duties *d)
{
  return d->calls;
}

/* Return the number of usage windows reported.  */
uint32_t
wy_platform_duties_window_count (const struct wy_platform_duties *d)
{
  return g_hash_table_size (d->reports);
}

/* Return the number of requests of ORGANISATION in all windows together.  */
int64_t
wy_platform_duties_request_count (const struct wy_platform_duties *d,
                                  const char *organisation)
{
  GHashTableIter it;
  gpointer p;
  int64_t n = 0;

  g_hash_table_iter_init (&it, d->reports);
  while (g_hash_table_iter_next (&it, NULL, &p))
    n += json_integer_value (json_object_get (p, organisation));
  return n;
}

/* Return the replica count last ordered for SERVICE in AVAILABILITY_ZONE, or
   -1 if none was.  */
int64_t
wy_platform_duties_replicas (const struct wy_platform_duties *d,
                             const char *service,
                             const char *availability_zone)
{
  char *key = g_strdup_printf ("%s/%s", service, availability_zone);
  const int64_t *n = g_hash_table_lookup (d->replicas, key);

  g_free (key);
  return n ? *n : -1;
}

/* Return the violations recorded, as char *.  */
const GPtrArray *
wy_platform_duties_violations (const struct wy_platform_duties *d)
{
  return d->violations;
}
