/* Connections between processes: timeouts, heartbeats and backpressure.  */
#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/conn_fixture.h"

/* A load balancer or firewall on the path loses the state of the connection.
   Bytes are lost in one or both directions without an error: writes still
   succeed.  Requests would hang; instead both ends close the connection and
   the entry reconnects.  */
Test (conn_liveness, dead_link_is_detected_in_each_direction)
{
  for (int lost = 1; lost <= 3; lost++)
    {
      struct fixture w;

      conn_fixture_init (&w);
      conn_relay_init (&w);
      conn_dial (&w, w.relay.port);
      conn_run_until (&w, conn_both_ready);
      w.relay.drop_to_listener = lost & 1;
      w.relay.drop_to_dialer = lost & 2;
      conn_run_until (&w, conn_both_closed);
      cr_expect_eq (w.a.err, WY_INNER_ETIMEDOUT, "lost %d", lost);
      cr_expect_eq (w.b.err, WY_INNER_ETIMEDOUT, "lost %d", lost);
    }
}

static bool
many_pings (struct fixture *w)
{
  return w->a.pings > 40 && w->b.pings > 40;
}

/* The heartbeat keeps an idle connection open well past the silence limit.  */
Test (conn_liveness, idle_link_stays_open)
{
  struct fixture w;

  conn_fixture_init (&w);
  conn_dial (&w, 0);
  conn_run_until (&w, many_pings);
  cr_assert_eq (w.a.closed + w.b.closed, 0);
}

static void
on_tick (uv_timer_t *t)
{
  uint32_t *ticks = t->data;

  ++*ticks;
  conn_check_done ();
}

static uint32_t ticks;

static bool
many_ticks (struct fixture *w)
{
  return ticks > 64;
}

/* Hundreds of idle connections.  At the interval of busy ones their heartbeats
   would exceed the CPU time that a host may spend on them.  */
Test (conn_liveness, idle_link_sends_few_pings)
{
  struct fixture w;
  uv_timer_t t;

  conn_fixture_init (&w);
  w.a.idle = true;
  w.b.idle = true;
  conn_dial (&w, 0);
  conn_run_until (&w, conn_both_ready);
  uv_timer_init (&w.loop, &t);
  t.data = &ticks;
  uv_timer_start (&t, on_tick, HEARTBEAT_MS, HEARTBEAT_MS);
  conn_run_until (&w, many_ticks);
  cr_assert_eq (w.a.closed + w.b.closed, 0);
  cr_assert_leq (w.a.pings + w.b.pings, ticks / 4);
}

/* The path loses the state of an idle connection.  The caller whose request
   uses it first must not wait for the long heartbeat interval of an idle
   connection.  */
Test (conn_liveness, first_frame_on_an_idle_link_detects_the_loss)
{
  struct fixture w;
  struct wy_frame f = { .kind = WY_FRAME_LEAVING };

  conn_fixture_init (&w);
  w.a.idle = true;
  w.b.idle = true;
  conn_relay_init (&w);
  conn_dial (&w, w.relay.port);
  conn_run_until (&w, conn_both_ready);
  ticks = 0;
  while (w.a.pings < 1)
    uv_run (&w.loop, UV_RUN_ONCE);
  w.relay.drop_to_listener = true;
  w.relay.drop_to_dialer = true;
  cr_assert_eq (wy_conn_send (w.a.conn, &f), 0);
  conn_run_until (&w, conn_a_closed);
  cr_assert_eq (w.a.err, WY_INNER_ETIMEDOUT);
}

/* A peer stops reading, so its output accumulates.  At the limit it is
   disconnected, before it uses memory that others need.  */
Test (conn_liveness, peer_that_does_not_read_is_disconnected)
{
  struct fixture w;
  static char data[65536];
  struct wy_frame f = { .kind = WY_FRAME_CHUNK };
  int err = 0;
  int sent = 0;

  conn_fixture_init (&w);
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
all_chunks (struct fixture *w)
{
  return w->b.chunk_bytes == 40ULL * 20000;
}

/* A burst of frames that is larger than the socket buffer.  */
Test (conn_liveness, burst_arrives_completely)
{
  struct fixture w;
  static char data[20000];
  struct wy_frame f = { .kind = WY_FRAME_CHUNK };

  conn_fixture_init (&w);
  conn_dial (&w, 0);
  conn_run_until (&w, conn_both_ready);
  f.u.chunk.id = wy_bytes_of ("id");
  f.u.chunk.data = (struct wy_bytes){ data, sizeof data };
  for (int i = 0; i < 40; i++)
    cr_assert_eq (wy_conn_send (w.a.conn, &f), 0);
  conn_run_until (&w, all_chunks);
  cr_assert_eq (w.b.frames, 40);
}

/* Nothing listens on the port: reported once, from the event loop, not by the
   call.  */
Test (conn_liveness, connection_refused)
{
  struct fixture w;
  struct sockaddr_in a;
  socklen_t n = sizeof a;
  /* Bound and not listening, so that no other process takes the port.  */
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  conn_fixture_init (&w);
  uv_ip4_addr ("127.0.0.1", 0, &a);
  cr_assert_eq (bind (fd, (const struct sockaddr *)&a, n), 0);
  cr_assert_eq (getsockname (fd, (struct sockaddr *)&a, &n), 0);
  wy_listener_close (w.listener);
  uv_run (&w.loop, UV_RUN_NOWAIT);
  conn_dial (&w, ntohs (a.sin_port));
  cr_assert_eq (w.a.closed, 0);
  conn_run_until (&w, conn_a_closed);
  cr_assert_eq (w.a.err, WY_INNER_ECONNECT);
  cr_assert_eq (w.a.closed, 1);
  close (fd);
}
