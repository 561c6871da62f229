/* Connections between processes: silence, heartbeats and full pipes.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/conn_world.h"

/* Something on the way, a balancer or a firewall, forgets the connection.
   Bytes vanish in both directions or in one only, and neither end gets an
   error: writes still succeed.  Requests would hang; instead both ends close
   it and the entry dials anew.  */
Test (conn_links, silent_link_is_seen_in_each_direction)
{
  for (int lost = 1; lost <= 3; lost++)
    {
      struct world w;

      conn_world_init (&w);
      conn_relay_init (&w);
      conn_dial (&w, w.relay.port);
      conn_run_until (&w, conn_both_ready);
      w.relay.lose_to_far = lost & 1;
      w.relay.lose_to_near = lost & 2;
      conn_run_until (&w, conn_both_closed);
      cr_expect_eq (w.a.err, WY_INNER_ESILENT, "lost %d", lost);
      cr_expect_eq (w.b.err, WY_INNER_ESILENT, "lost %d", lost);
    }
}

static bool
many_pings (struct world *w)
{
  return w->a.pings > 40 && w->b.pings > 40;
}

/* A connection with nothing to say lives on by its heartbeat alone, well past
   the limit of silence.  */
Test (conn_links, idle_link_stays)
{
  struct world w;

  conn_world_init (&w);
  conn_dial (&w, 0);
  conn_run_until (&w, many_pings);
  cr_assert_eq (w.a.closed + w.b.closed, 0);
}

static void
on_turn (uv_timer_t *t)
{
  uint32_t *turns = t->data;

  ++*turns;
  conn_check_done ();
}

static uint32_t turns;

static bool
many_turns (struct world *w)
{
  return turns > 64;
}

/* Hundreds of connections that nobody uses at the moment: at the pace of busy
   ones their heartbeats alone would go beyond what a node may spend.  */
Test (conn_links, quiet_link_asks_seldom)
{
  struct world w;
  uv_timer_t t;

  conn_world_init (&w);
  w.a.quiet = true;
  w.b.quiet = true;
  conn_dial (&w, 0);
  conn_run_until (&w, conn_both_ready);
  uv_timer_init (&w.loop, &t);
  t.data = &turns;
  uv_timer_start (&t, on_turn, HEARTBEAT_MS, HEARTBEAT_MS);
  conn_run_until (&w, many_turns);
  cr_assert_eq (w.a.closed + w.b.closed, 0);
  cr_assert_leq (w.a.pings + w.b.pings, turns / 4);
}

/* Something between the ends forgets a connection while nothing is sent on it.
   The caller whose request is the first to use it must not wait for the slow
   heartbeat of a quiet connection.  */
Test (conn_links, first_frame_on_a_quiet_link_finds_the_silence)
{
  struct world w;
  struct wy_frame f = { .kind = WY_FRAME_LEAVING };

  conn_world_init (&w);
  w.a.quiet = true;
  w.b.quiet = true;
  conn_relay_init (&w);
  conn_dial (&w, w.relay.port);
  conn_run_until (&w, conn_both_ready);
  turns = 0;
  while (w.a.pings < 1)
    uv_run (&w.loop, UV_RUN_ONCE);
  w.relay.lose_to_far = true;
  w.relay.lose_to_near = true;
  cr_assert_eq (wy_conn_send (w.a.conn, &f), 0);
  conn_run_until (&w, conn_a_closed);
  cr_assert_eq (w.a.err, WY_INNER_ESILENT);
}

/* A peer that stopped reading: what is meant for it piles up.  At the limit
   it is cut, before it takes the memory others need.  */
Test (conn_links, peer_that_does_not_read_is_cut)
{
  struct world w;
  static char data[65536];
  struct wy_frame f = { .kind = WY_FRAME_CHUNK };
  int err = 0;
  int sent = 0;

  conn_world_init (&w);
  conn_relay_init (&w);
  conn_dial (&w, w.relay.port);
  conn_run_until (&w, conn_both_ready);
  uv_read_stop ((uv_stream_t *)&w.relay.near);
  f.u.chunk.id = wy_bytes_of ("id");
  f.u.chunk.data = (struct wy_bytes){ data, sizeof data };
  while (!(err = wy_conn_send (w.a.conn, &f)) && ++sent < 10000)
    cr_assert_leq (wy_conn_unsent_bytes (w.a.conn), SEND_LIMIT_BYTES);
  cr_assert_eq (err, WY_INNER_EBACKLOG);
  conn_run_until (&w, conn_a_closed);
  cr_assert_eq (w.a.err, WY_INNER_EBACKLOG);
}

static bool
all_chunks (struct world *w)
{
  return w->b.chunk_bytes == 40ULL * 20000;
}

/* Many frames at once, larger together than a socket takes in one go.  */
Test (conn_links, burst_arrives_whole)
{
  struct world w;
  static char data[20000];
  struct wy_frame f = { .kind = WY_FRAME_CHUNK };

  conn_world_init (&w);
  conn_dial (&w, 0);
  conn_run_until (&w, conn_both_ready);
  f.u.chunk.id = wy_bytes_of ("id");
  f.u.chunk.data = (struct wy_bytes){ data, sizeof data };
  for (int i = 0; i < 40; i++)
    cr_assert_eq (wy_conn_send (w.a.conn, &f), 0);
  conn_run_until (&w, all_chunks);
  cr_assert_eq (w.b.frames, 40);
}

/* Nobody listens at the port: told once, from the loop, not by the call.  */
Test (conn_links, nobody_there)
{
  struct world w;
  uint16_t port;

  conn_world_init (&w);
  port = wy_listener_port (w.listener);
  wy_listener_close (w.listener);
  uv_run (&w.loop, UV_RUN_NOWAIT);
  conn_dial (&w, port);
  cr_assert_eq (w.a.closed, 0);
  conn_run_until (&w, conn_a_closed);
  cr_assert_eq (w.a.err, WY_INNER_ECONNECT);
  cr_assert_eq (w.a.closed, 1);
}
