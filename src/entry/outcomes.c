/* Outcome of a request, queried by its identifier.

   A caller whose response was lost, or who was told `unknown', can query the
   outcome later.  The entry returns what it recorded itself, or else asks the
   agents that may have run the request: the homes of a key, or all connected
   agents for a fresh identifier.  `no' is returned only when every target that
   could have run the request proves that it did not.  */
#include "entry/outcomes.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry/home.h"
#include "entry/peers.h"
#include "entry/problem.h"
#include "entry/request.h"

enum
{
  /* Recorded outcomes: about a minute's worth for a busy entry, 150 bytes
     each.  */
  RECORDED_MAX = 4096,
  /* Agents respond immediately; one that has not by then is unreachable.  */
  QUERY_TIMEOUT_MS = 1000
};

struct outcome
{
  char *id;
  char *run;
  char *target;
  const char *state;
  enum wy_ran ran;
};

struct outcome_query
{
  char *id;
  struct wy_http_exchange *ex;
  struct wy_entry *entry;
  uint32_t waiting;
  bool all_asked; /* every agent that could have run it was asked */
  bool all_no;
  int64_t expires_ms;
};

struct wy_outcomes
{
  GHashTable *by_id; /* struct outcome */
  GQueue order;      /* the same, oldest first */
  GQueue queries;    /* struct outcome_query */
};

static void
outcome_free (struct outcome *o)
{
  g_free (o->id);
  g_free (o->run);
  g_free (o->target);
  g_free (o);
}

/* Create an empty record of outcomes.  */
struct wy_outcomes *
wy_outcomes_new (void)
{
  struct wy_outcomes *o = g_malloc0 (sizeof *o);

  o->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&o->order);
  g_queue_init (&o->queries);
  return o;
}

static void
query_free (struct outcome_query *q)
{
  g_free (q->id);
  g_free (q);
}

/* Free O; open queries get no response.  */
void
wy_outcomes_free (struct wy_outcomes *o)
{
  struct outcome *x;
  struct outcome_query *q;

  while ((q = g_queue_pop_head (&o->queries)))
    {
      wy_http_on_abort (q->ex, NULL, NULL);
      query_free (q);
    }
  g_hash_table_destroy (o->by_id);
  while ((x = g_queue_pop_head (&o->order)))
    outcome_free (x);
  g_free (o);
}

/* Record how R ended: STATE, a string literal, and RAN.  */
void
wy_outcome_record (const struct wy_request *r, enum wy_ran ran,
                   const char *state)
{
  struct wy_outcomes *o = r->entry->outcomes;
  struct outcome *x = g_malloc0 (sizeof *x);
  struct outcome *old;

  x->id = g_strdup (r->id);
  x->run = g_strdup (r->run ? r->run : "");
  x->target = g_strdup (r->peer ? r->peer->id : "");
  x->state = state;
  x->ran = ran;
  old = g_hash_table_lookup (o->by_id, x->id);
  if (old)
    {
      g_hash_table_remove (o->by_id, old->id);
      g_queue_remove (&o->order, old);
      outcome_free (old);
    }
  g_hash_table_insert (o->by_id, x->id, x);
  g_queue_push_tail (&o->order, x);
  if (o->order.length <= RECORDED_MAX)
    return;
  old = g_queue_pop_head (&o->order);
  g_hash_table_remove (o->by_id, old->id);
  outcome_free (old);
}

static void
respond (struct wy_http_exchange *ex, const char *id, const char *state,
         enum wy_ran ran, const char *run, const char *target)
{
  json_t *j = json_pack ("{s:s, s:s, s:s}", "request", id, "state", state,
                         "ran", wy_ran_name (ran));
  char *text;

  if (run && *run)
    json_object_set_new (j, "run", json_string (run));
  if (target && *target)
    json_object_set_new (j, "target", json_string (target));
  text = json_dumps (j, JSON_COMPACT);
  wy_http_respond (ex, 200, "application/json", text, strlen (text));
  free (text);
  json_decref (j);
}

static void
finish_query (struct outcome_query *q, const char *state, enum wy_ran ran,
              const char *run, const char *target)
{
  g_queue_remove (&q->entry->outcomes->queries, q);
  wy_http_on_abort (q->ex, NULL, NULL);
  respond (q->ex, q->id, state, ran, run, target);
  query_free (q);
}

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  struct outcome_query *q = ctx;

  g_queue_remove (&q->entry->outcomes->queries, q);
  query_free (q);
}

static void
conclude (struct outcome_query *q)
{
  if (q->all_asked && q->all_no)
    finish_query (q, "not_run", WY_RAN_NO, NULL, NULL);
  else
    finish_query (q, "unknown", WY_RAN_UNKNOWN, NULL, NULL);
}

static const char *
state_of (const struct wy_frame_end *f)
{
  switch (f->result)
    {
    case WY_RUN_DONE:
      return "done";
    case WY_RUN_FAILED:
      return "failed";
    case WY_RUN_CRASHED:
      return "crashed";
    case WY_RUN_CANCELLED:
      return "cancelled";
    case WY_RUN_TIMED_OUT:
      return "timed_out";
    }
  return f->run.n ? "running" : "unknown";
}

static void
handle_reply (struct outcome_query *q, struct wy_peer *p,
              const struct wy_frame_end *f)
{
  char *run;

  if (f->ran == WY_RAN_YES || f->run.n > 0)
    {
      run = wy_bytes_dup (f->run);
      finish_query (q, state_of (f), f->ran, run, p->id);
      g_free (run);
      return;
    }
  q->all_no = q->all_no && f->ran == WY_RAN_NO;
  if (--q->waiting == 0)
    conclude (q);
}

/* Handle OUTCOME from P, the outcome of a request as P knows it.  */
void
wy_outcome_frame (struct wy_peer *p, const struct wy_frame_end *f)
{
  GList *next;

  for (GList *l = p->entry->outcomes->queries.head; l; l = next)
    {
      struct outcome_query *q = l->data;

      next = l->next;
      if (wy_bytes_equal (f->id, q->id))
        handle_reply (q, p, f);
    }
}

static void
query_agent (struct outcome_query *q, struct wy_peer *p)
{
  struct wy_frame f = { .kind = WY_FRAME_QUERY };

  f.u.resume.id = wy_bytes_of (q->id);
  if (p && !wy_peer_send (p, &f))
    q->waiting++;
  else
    q->all_asked = false;
}

static void
query_home (struct outcome_query *q, const char *target)
{
  if (target)
    query_agent (q, g_hash_table_lookup (q->entry->peers, target));
}

/* Query the agents that may have run the request.  One with a fresh identifier
   may have gone to any target, also to one this entry is not connected to.  */
static void
query_agents (struct outcome_query *q)
{
  struct wy_entry *e = q->entry;
  const char *colon = strchr (q->id, ':');
  char *service;
  GHashTableIter i;
  gpointer p;

  if (colon)
    {
      service = g_strndup (q->id, (gsize)(colon - q->id));
      q->all_asked = wy_home_of (e, service, q->id, 0) != NULL;
      query_home (q, wy_home_of (e, service, q->id, 0));
      query_home (q, wy_home_previous (e, service, q->id));
      g_free (service);
      return;
    }
  q->all_asked = false;
  g_hash_table_iter_init (&i, e->peers);
  while (g_hash_table_iter_next (&i, NULL, &p))
    query_agent (q, p);
}

/* Respond to EX with the outcome of request ID.  */
void
wy_outcome_query_http (struct wy_entry *e, struct wy_http_exchange *ex,
                       const char *id)
{
  const struct outcome *o = g_hash_table_lookup (e->outcomes->by_id, id);
  const struct wy_request *r = g_hash_table_lookup (e->requests, id);
  struct outcome_query *q;

  if (r)
    {
      respond (ex, id, "running",
               r->head_received ? WY_RAN_YES : WY_RAN_UNKNOWN, r->run,
               r->peer ? r->peer->id : NULL);
      return;
    }
  if (o && o->ran != WY_RAN_UNKNOWN)
    {
      respond (ex, id, o->state, o->ran, o->run, o->target);
      return;
    }
  q = g_malloc0 (sizeof *q);
  q->entry = e;
  q->ex = ex;
  q->id = g_strdup (id);
  q->all_no = true;
  q->expires_ms = wy_clock_mono_ms (e->clock) + QUERY_TIMEOUT_MS;
  g_queue_push_tail (&e->outcomes->queries, q);
  wy_http_on_abort (ex, on_abort, q);
  query_agents (q);
  if (q->waiting == 0)
    conclude (q);
}

/* Conclude queries whose time limit has passed.  */
void
wy_outcome_sweep (struct wy_entry *e, int64_t now_ms)
{
  GList *next;

  for (GList *l = e->outcomes->queries.head; l; l = next)
    {
      struct outcome_query *q = l->data;

      next = l->next;
      if (now_ms < q->expires_ms)
        continue;
      q->all_asked = false;
      conclude (q);
    }
}
