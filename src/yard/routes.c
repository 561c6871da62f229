/* Routes of the HTTP interface for trainers.  */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "http/json.h"
#include "yard/trainer_api.h"

enum
{
  /* "", "v1", "yards", YARD, ... */
  PART_YARD = 3,
  PART_KIND = 4,
  PART_TRAINER = 5,
  PART_STEPS = 6,
  PART_STEP = 7,
  PART_VERB = 8,
  PARTS_WEIGHTS = 5,
  PARTS_STEP = 9,
  NUMBER_BASE = 10
};

struct route
{
  const char *verb;
  const char *method;
  bool has_body;
  void (*handle) (struct wy_trainer_request *c);
};

static const struct route step_routes[]
    = { { "groups", "POST", true, wy_trainer_submit },
        { "batch", "GET", false, wy_trainer_batch },
        { "ack", "POST", false, wy_trainer_ack } };
static const struct route weights_route
    = { "weights", "POST", true, wy_trainer_publish };

static void
respond_problem (struct wy_http_exchange *ex, int status, const char *title,
                 const char *detail)
{
  const struct wy_http_problem p
      = { .status = status, .title = title, .detail = detail };

  wy_http_respond_problem (ex, &p);
}

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  ((struct wy_trainer_request *)ctx)->ex = NULL;
}

/* Parse the number of a step, 1 or higher.  Returns -1 if TEXT is none.  */
static int64_t
parse_step (const char *text)
{
  char *end;
  long long n;

  errno = 0;
  n = strtoll (text, &end, NUMBER_BASE);
  return *text && !*end && !errno && n > 0 ? n : -1;
}

static struct wy_trainer_request *
request_new (struct wy_yard *y, struct wy_http_exchange *ex, gchar **parts)
{
  const struct wy_yard_options *o = wy_yard_options_of (y);
  struct wy_trainer_request *c = g_malloc0 (sizeof *c);

  c->owner = y;
  c->store = o->store;
  c->trace = o->trace;
  c->clock = o->clock;
  c->ex = ex;
  c->yard = g_strdup (parts[PART_YARD]);
  c->current_key = wy_key_current (c->yard);
  return c;
}

static void
handle_request (struct wy_trainer_request *c, const struct route *r)
{
  size_t n;
  const char *body = wy_http_body (c->ex, &n);

  if (r->has_body)
    c->body = json_loadb (body, n, JSON_REJECT_DUPLICATES, NULL);
  if (r->has_body && !json_is_object (c->body))
    {
      wy_trainer_respond_problem (c, WY_STATUS_BAD_REQUEST, "Bad request",
                                  "The body must be a JSON object.");
      return;
    }
  wy_http_on_abort (c->ex, on_abort, c);
  r->handle (c);
}

static void
route_step (struct wy_yard *y, struct wy_http_exchange *ex, gchar **parts)
{
  const struct route *r = NULL;
  int64_t step = parse_step (parts[PART_STEP]);
  uint32_t bound;
  struct wy_trainer_request *c;

  for (size_t i = 0; i < G_N_ELEMENTS (step_routes); i++)
    if (!strcmp (step_routes[i].verb, parts[PART_VERB]))
      r = &step_routes[i];
  if (!r || strcmp (parts[PART_KIND], "trainers") != 0
      || strcmp (parts[PART_STEPS], "steps") != 0)
    respond_problem (ex, WY_STATUS_NOT_FOUND, "No such resource", NULL);
  else if (strcmp (wy_http_method (ex), r->method) != 0)
    respond_problem (ex, WY_STATUS_METHOD_NOT_ALLOWED, "Method not allowed",
                     NULL);
  else if (step < 0)
    respond_problem (ex, WY_STATUS_BAD_REQUEST, "Invalid step",
                     "Steps are numbered from 1.");
  else if (!wy_yard_is_configured (y, parts[PART_YARD], parts[PART_TRAINER],
                                   &bound))
    respond_problem (ex, WY_STATUS_NOT_FOUND, "No such yard or trainer", NULL);
  else
    {
      c = request_new (y, ex, parts);
      c->trainer = g_strdup (parts[PART_TRAINER]);
      c->step = step;
      c->bound_max = bound;
      c->step_key = wy_key_step (c->yard, c->trainer, step);
      c->floor_key = wy_key_floor (c->yard, c->trainer);
      handle_request (c, r);
    }
}

static void
route_weights (struct wy_yard *y, struct wy_http_exchange *ex, gchar **parts)
{
  uint32_t bound;

  if (strcmp (parts[PART_KIND], weights_route.verb) != 0)
    respond_problem (ex, WY_STATUS_NOT_FOUND, "No such resource", NULL);
  else if (strcmp (wy_http_method (ex), weights_route.method) != 0)
    respond_problem (ex, WY_STATUS_METHOD_NOT_ALLOWED, "Method not allowed",
                     NULL);
  else if (!wy_yard_is_configured (y, parts[PART_YARD], NULL, &bound))
    respond_problem (ex, WY_STATUS_NOT_FOUND, "No such yard", NULL);
  else
    handle_request (request_new (y, ex, parts), &weights_route);
}

/* Handle EX if it is a request of the interface for trainers.  Returns whether
   it is.  */
bool
wy_yard_handle_request (struct wy_yard *y, struct wy_http_exchange *ex)
{
  gchar **parts;
  guint n;

  if (strncmp (wy_http_path (ex), "/v1/yards/", strlen ("/v1/yards/")) != 0)
    return false;
  parts = g_strsplit (wy_http_path (ex), "/", 0);
  n = g_strv_length (parts);
  if (n == PARTS_STEP)
    route_step (y, ex, parts);
  else if (n == PARTS_WEIGHTS)
    route_weights (y, ex, parts);
  else
    respond_problem (ex, WY_STATUS_NOT_FOUND, "No such resource", NULL);
  g_strfreev (parts);
  return true;
}
