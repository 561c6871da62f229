/* Bounds on what the clients of all HTTP/1.1 servers of a process can make it
   hold and do: turns of the event loop, and memory.  */
#include "h1/server_state.h"

enum
{
  /* Requests taken in one turn of the event loop, of all connections.  */
  REQUESTS_PER_TURN = 256,
  /* Within a turn, memory is freed again when this part of the budget has been
     taken since.  */
  RELIEF_STEP_DIVISOR = 64
};

/* A connection and its rank among those that may give way.  */
struct candidate
{
  struct wy_h1_request *conn;
  struct wy_client_view view;
  uint64_t rank;
};

/* Whether C may take a further request in this turn, and count it if so.  */
bool
wy_h1_turn_take (struct wy_h1_request *c)
{
  struct wy_h1_overload *v = c->server->overload;

  if (c->turn != v->turn)
    {
      c->turn = v->turn;
      c->turn_requests = 0;
    }
  if (v->turn_requests >= REQUESTS_PER_TURN
      || c->turn_requests >= c->server->clients.requests_per_turn)
    return false;
  v->turn_requests++;
  c->turn_requests++;
  return true;
}

static void
begin_turn (struct wy_h1_overload *v)
{
  v->turn++;
  v->turn_requests = 0;
}

static void
on_begin_turn (uv_prepare_t *h)
{
  begin_turn (h->data);
}

static void
on_turn (uv_idle_t *h)
{
  struct wy_h1_overload *v = h->data;
  bool more = false;

  begin_turn (v);
  for (guint n = v->ready.length; n > 0; n--)
    {
      GList *l = g_queue_pop_head_link (&v->ready);
      struct wy_h1_request *c;

      if (!l)
        break;
      c = l->data;
      c->awaits_turn = false;
      wy_h1_conn_continue (c);
    }
  for (GList *l = v->servers.head; l; l = l->next)
    more = wy_h1_accept_deferred (l->data) || more;
  if (v->ready.length == 0 && !more)
    uv_idle_stop (h);
}

/* Run the next turn as soon as other events have been handled.  */
void
wy_h1_turn_request (struct wy_h1_overload *v)
{
  uv_idle_start (&v->next_turn, on_turn);
}

/* C has unparsed bytes: continue with them in the next turn.  */
void
wy_h1_turn_await (struct wy_h1_request *c)
{
  struct wy_h1_overload *v = c->server->overload;

  if (c->awaits_turn)
    return;
  c->awaits_turn = true;
  v->stats.turns_cut++;
  g_queue_push_tail_link (&v->ready, &c->turn_link);
  wy_h1_turn_request (v);
}

/* C is being closed.  */
void
wy_h1_turn_forget (struct wy_h1_request *c)
{
  if (c->awaits_turn)
    g_queue_unlink (&c->server->overload->ready, &c->turn_link);
  c->awaits_turn = false;
}

/* Report that C, seen as VIEW, gives way for REASON.  */
void
wy_h1_yield_report (const struct wy_h1_request *c,
                    const struct wy_client_view *view,
                    enum wy_h1_yield_reason reason)
{
  struct wy_h1_overload *v = c->server->overload;
  struct wy_h1_yield y = { .reason = reason,
                           .listener = c->server->name,
                           .client = *view,
                           .connections = c->server->connections.length };

  v->stats.yields[reason]++;
  if (v->o.on_yield)
    v->o.on_yield (v->o.ctx, &y);
}

static int
compare_ranks (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  return (x->rank < y->rank) - (x->rank > y->rank);
}

/* End the incomplete request of C.  A submission of a job gets no response:
   an earlier copy of it may have been accepted.  */
static void
end_incomplete (struct wy_h1_request *c)
{
  const struct wy_h1_server *s = c->server;

  if (c->state == CONN_HEAD)
    wy_h1_conn_reject (c, 408);
  else if (!s->may_reject || s->may_reject (s->ctx, c))
    wy_h1_conn_reject (c, 503);
  else
    wy_h1_conn_close (c);
}

/* Let D give way for REASON.  */
static void
yield (const struct candidate *d, enum wy_h1_yield_reason reason)
{
  struct wy_h1_request *c = d->conn;
  struct wy_h1_server *s = c->server;

  wy_h1_yield_report (c, &d->view, reason);
  if (d->view.state == WY_CLIENT_RECEIVING)
    {
      end_incomplete (c);
      return;
    }
  if (s->memory)
    s->memory->sheds++;
  if (s->on_shed)
    s->on_shed (s->ctx, c, wy_h1_unsent_bytes (c), d->view.silent_ms);
  wy_h1_conn_hang_up (c);
}

static void
add_candidate (GArray *list, struct wy_h1_request *c,
               const struct wy_client_view *view, uint64_t rank)
{
  struct candidate d = { .conn = c, .view = *view, .rank = rank };

  if (rank)
    g_array_append_val (list, d);
}

/* Let the highest of LIST give way until TO_FREE_BYTES are free.  What is
   queued for a reader is freed on the next turn of the loop, so what each
   holds is counted here.  */
static void
yield_until_free (GArray *list, int64_t to_free_bytes,
                  enum wy_h1_yield_reason reason)
{
  g_array_sort (list, compare_ranks);
  for (guint i = 0; i < list->len && to_free_bytes > 0; i++)
    {
      const struct candidate *d = &g_array_index (list, struct candidate, i);

      if (d->conn->closing)
        continue;
      to_free_bytes -= (int64_t)d->view.held_bytes;
      yield (d, reason);
    }
}

/* Free memory if it is short: let those connections of all servers give way
   that cost most, until others are no longer affected.  */
void
wy_h1_overload_relieve (struct wy_h1_overload *v)
{
  enum wy_memory_level level = wy_memory_account_level (v->o.memory);
  int64_t to_free_bytes = wy_memory_account_to_shed_bytes (v->o.memory);
  GArray *list;

  /* While shedding, the level may be a lower one.  */
  if (to_free_bytes)
    level = WY_MEMORY_SHED;
  else
    to_free_bytes = wy_memory_account_to_relieve_bytes (v->o.memory);
  if (to_free_bytes <= 0)
    return;
  list = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  for (GList *l = v->servers.head; l; l = l->next)
    {
      struct wy_h1_server *s = l->data;

      for (GList *k = s->connections.head; k; k = k->next)
        {
          struct wy_client_view view = wy_h1_conn_view (k->data);

          add_candidate (list, k->data, &view,
                         wy_client_rank_for_memory (&view, level));
        }
    }
  yield_until_free (list, to_free_bytes, WY_H1_YIELD_MEMORY);
  g_array_free (list, TRUE);
  v->relieved_turn = v->turn;
  v->relieved_bytes = v->o.memory->total_bytes;
}

/* Memory was taken: free some at once if it is short, but in one turn only as
   often as more has been taken.  A turn may read from a thousand
   connections.  */
void
wy_h1_overload_taken (struct wy_h1_overload *v)
{
  const struct wy_memory_account *a = v->o.memory;

  if (wy_memory_account_level (a) < WY_MEMORY_REJECT_NEW)
    return;
  if (v->relieved_turn != v->turn
      || a->total_bytes
             > v->relieved_bytes + a->budget_bytes / RELIEF_STEP_DIVISOR)
    wy_h1_overload_relieve (v);
}

/* Make room for BYTES of a body of C, at the expense of incomplete bodies that
   have been so for long.  */
void
wy_h1_overload_make_body_room (struct wy_h1_request *c, uint64_t bytes)
{
  struct wy_h1_server *s = c->server;
  int64_t above_bytes
      = (int64_t)(s->total_body_bytes + bytes - s->limits.buffered_bytes);
  GArray *list;

  if (s->total_body_bytes + bytes <= s->limits.buffered_bytes
      || bytes > s->limits.buffered_bytes
      || s->body_room_turn == s->overload->turn)
    return;
  s->body_room_turn = s->overload->turn;
  list = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  for (GList *l = s->connections.head; l; l = l->next)
    if (l->data != c)
      {
        struct wy_client_view view = wy_h1_conn_view (l->data);

        add_candidate (list, l->data, &view, wy_client_rank_for_body (&view));
      }
  yield_until_free (list, above_bytes, WY_H1_YIELD_BODY_ROOM);
  g_array_free (list, TRUE);
}

/* Create the bounds of a process with the options O.  */
struct wy_h1_overload *
wy_h1_overload_new (const struct wy_h1_overload_options *o)
{
  struct wy_h1_overload *v = g_new0 (struct wy_h1_overload, 1);

  v->o = *o;
  g_queue_init (&v->servers);
  g_queue_init (&v->ready);
  v->turn = 1; /* connections start with 0 */
  uv_idle_init (o->loop, &v->next_turn);
  v->next_turn.data = v;
  uv_prepare_init (o->loop, &v->begin_turn);
  v->begin_turn.data = v;
  uv_prepare_start (&v->begin_turn, on_begin_turn);
  uv_unref ((uv_handle_t *)&v->begin_turn);
  v->handles = 2;
  return v;
}

static void
on_handle_closed (uv_handle_t *h)
{
  struct wy_h1_overload *v = h->data;

  if (--v->handles == 0)
    g_free (v);
}

/* Close the handles of V, whose servers are closed; V is freed on the loop. */
void
wy_h1_overload_close (struct wy_h1_overload *v)
{
  uv_close ((uv_handle_t *)&v->next_turn, on_handle_closed);
  uv_close ((uv_handle_t *)&v->begin_turn, on_handle_closed);
}

/* Name of R in logs and metrics.  */
const char *
wy_h1_yield_name (enum wy_h1_yield_reason r)
{
  static const char *const names[WY_H1_YIELD_REASONS]
      = { "descriptors", "memory", "body_room", "reader_timeout" };

  return names[r];
}

/* Name of S in logs.  */
const char *
wy_h1_client_state_name (enum wy_client_state s)
{
  static const char *const names[]
      = { "waiting", "receiving", "in_progress", "closing" };

  return names[s];
}
