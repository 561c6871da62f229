/* HTTP/1.1 server: which connections are accepted.  While the listener has as
   many as it may have, the next one takes the place of the one that is missed
   least; if all have a request in progress, it waits in the kernel until one
   of them is answered, which is that connection's last response.  */
#include "h1/server_state.h"

enum
{
  /* Connections that a listener accepts in one turn of the event loop.  */
  ACCEPTS_PER_TURN = 64
};

static bool
take_turn (struct wy_h1_server *s)
{
  if (s->accept_turn != s->overload->turn)
    {
      s->accept_turn = s->overload->turn;
      s->accepted_in_turn = 0;
    }
  return s->accepted_in_turn++ < ACCEPTS_PER_TURN;
}

/* Close the connection of S that is missed least.  Returns false if none may
   be closed.  */
static bool
make_room (struct wy_h1_server *s)
{
  struct wy_h1_request *least = NULL;
  struct wy_client_view least_view;
  uint64_t highest = 0;

  for (GList *l = s->connections.head; l; l = l->next)
    {
      struct wy_client_view view = wy_h1_conn_view (l->data);
      uint64_t rank = wy_client_rank_for_descriptor (&view);

      if (rank <= highest)
        continue;
      highest = rank;
      least = l->data;
      least_view = view;
    }
  if (!least)
    return false;
  wy_h1_yield_report (least, &least_view, WY_H1_YIELD_DESCRIPTORS);
  wy_h1_conn_hang_up (least);
  return true;
}

static bool
has_room (struct wy_h1_server *s)
{
  return !s->clients.connections
         || s->connections.length < s->clients.connections || make_room (s);
}

/* Accept the pending connection of S, or leave it for later: libuv accepts no
   other until then.  */
static void
accept_pending (struct wy_h1_server *s)
{
  s->accept = ACCEPT_NOTHING;
  if (!take_turn (s))
    {
      s->accept = ACCEPT_NEXT_TURN;
      wy_h1_turn_request (s->overload);
      return;
    }
  if (!has_room (s))
    {
      s->accept = ACCEPT_WHEN_ROOM;
      s->overload->stats.accepts_deferred++;
      return;
    }
  wy_h1_conn_accept (s);
}

/* For uv_listen.  */
void
wy_h1_on_connection (uv_stream_t *listener, int status)
{
  struct wy_h1_server *s = listener->data;
  struct wy_h1_overload *v = s->overload;

  if (status == 0)
    {
      accept_pending (s);
      return;
    }
  v->stats.accepts_failed++;
  if (v->o.on_accept_failed)
    v->o.on_accept_failed (v->o.ctx, s->name, status);
}

/* A new turn has begun.  Returns whether S needs a further one.  */
bool
wy_h1_accept_deferred (struct wy_h1_server *s)
{
  if (s->accept == ACCEPT_NEXT_TURN && s->listening)
    accept_pending (s);
  return s->accept == ACCEPT_NEXT_TURN && s->listening;
}

/* A connection of S has been closed or can be: accept one that waits for
   room in the next turn.  */
void
wy_h1_accept_if_room (struct wy_h1_server *s)
{
  if (s->accept != ACCEPT_WHEN_ROOM || !s->listening)
    return;
  s->accept = ACCEPT_NEXT_TURN;
  wy_h1_turn_request (s->overload);
}

/* A response is about to be sent: whether a connection that waits takes the
   place of this one after it.  Otherwise clients that send requests ahead
   would keep all places.  */
bool
wy_h1_accept_takes_place (struct wy_h1_server *s)
{
  if (s->accept != ACCEPT_WHEN_ROOM || !s->listening)
    return false;
  wy_h1_accept_if_room (s);
  s->overload->stats.places_passed++;
  return true;
}
