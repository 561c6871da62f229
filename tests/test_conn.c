/* Connections between processes: keys, handshakes and malicious peers.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/conn_fixture.h"

static const struct wy_inner_key keys_both[]
    = { { 2, "new secret" }, { 1, "old secret" } };
static const struct wy_inner_key keys_added[]
    = { { 1, "old secret" }, { 2, "new secret" } };
static const struct wy_inner_key keys_new[] = { { 2, "new secret" } };
static const struct wy_inner_key keys_wrong[] = { { 1, "guess" } };

Test (conn, both_ends_are_authenticated)
{
  struct fixture w;
  struct wy_frame f = { .kind = WY_FRAME_LEAVING };

  conn_fixture_init (&w);
  conn_dial (&w, 0);
  cr_assert_eq (wy_conn_send (w.a.conn, &f), WY_INNER_ECLOSED);
  conn_run_until (&w, conn_both_ready);
  cr_assert_str_eq (w.a.peer, "agent-1/inc/surrey");
  cr_assert_str_eq (w.b.peer, "entry-1/inc/surrey");
  cr_assert_eq (wy_conn_send (w.a.conn, &f), 0);
  wy_conn_close (w.a.conn);
  conn_run_until (&w, conn_both_closed);
  cr_assert_eq (w.b.frames, 1, "what was sent before the close arrives");
  cr_assert_eq (w.a.err, 0);
  cr_assert_eq (w.b.err, WY_INNER_ECLOSED);
  cr_assert_eq (w.a.closed + w.b.closed, 2);
}

struct key_case
{
  const struct wy_inner_key *a;
  size_t n_a;
  const struct wy_inner_key *b;
  size_t n_b;
  int err; /* of the rejecting end; 0: becomes ready */
};

/* Keys are rotated without an interruption in three steps: the new key is
   added everywhere after the old one, then moved before it, then the old one
   is removed.  Processes one step apart can connect; processes two steps apart
   are rejected.  A process with an unknown key or a wrong secret is rejected,
   and the other end logs the reason.  */
Test (conn, keys)
{
  const struct key_case table[] = {
    { conn_keys_old, 1, conn_keys_old, 1, 0 },
    { conn_keys_old, 1, keys_added, 2, 0 },
    { keys_added, 2, conn_keys_old, 1, 0 },
    { keys_added, 2, keys_both, 2, 0 },
    { keys_both, 2, keys_added, 2, 0 },
    { keys_both, 2, keys_new, 1, 0 },
    { keys_new, 1, keys_both, 2, 0 },
    { conn_keys_old, 1, keys_both, 2, WY_INNER_EAUTH },
    { keys_both, 2, conn_keys_old, 1, WY_INNER_EAUTH },
    { conn_keys_old, 1, keys_new, 1, WY_INNER_EAUTH },
    { keys_wrong, 1, conn_keys_old, 1, WY_INNER_EAUTH },
    { conn_keys_old, 1, keys_wrong, 1, WY_INNER_EAUTH },
  };

  for (size_t i = 0; i < sizeof table / sizeof *table; i++)
    {
      struct fixture w;

      conn_fixture_init (&w);
      conn_end_init (&w, &w.a, "entry-1", table[i].a, table[i].n_a);
      conn_end_init (&w, &w.b, "agent-1", table[i].b, table[i].n_b);
      conn_dial (&w, 0);
      conn_run_until (&w, table[i].err ? conn_both_closed : conn_both_ready);
      if (table[i].err)
        cr_assert (w.a.err == table[i].err || w.b.err == table[i].err,
                   "case %zu", i);
      cr_assert_eq (w.a.ready && w.b.ready, !table[i].err, "case %zu", i);
    }
}

/* A peer without a key sends arbitrary bytes.  Its connection is closed with a
   specific error, and an existing connection stays open.  */
Test (conn, malicious_peer_affects_no_other_connection)
{
  const struct
  {
    const char *what;
    uint8_t bytes[8];
    size_t n;
    int err;
  } table[] = {
    { "silent from the start", { 0 }, 0, WY_INNER_ETIMEDOUT },
    { "incomplete length", { 0, 0 }, 2, WY_INNER_ETIMEDOUT },
    { "web browser", "GET / HT", 8, WY_INNER_ETOOBIG },
    { "garbage", { 0, 0, 0, 2, 0xc1, 0xc1 }, 6, WY_INNER_EMALFORMED },
    { "no HELLO first", { 0, 0, 0, 3, 0x92, 21, 0 }, 7, WY_INNER_EAUTH },
  };

  for (size_t i = 0; i < sizeof table / sizeof *table; i++)
    {
      struct fixture w;
      struct raw r;
      struct wy_conn *established;

      conn_fixture_init (&w);
      conn_dial (&w, 0);
      conn_run_until (&w, conn_both_ready);
      established = w.a.conn;
      conn_raw_dial (&w, &r, table[i].bytes, table[i].n);
      conn_run_until (&w, conn_b_closed);
      cr_expect_eq (w.b.err, table[i].err, "%s", table[i].what);
      cr_expect (w.a.closed == 0 && wy_conn_is_ready (established));
    }
}

/* Before it has authenticated, a peer must not occupy more memory than a
   handshake needs, although later frames may be megabytes.  */
Test (conn, large_frame_before_authentication)
{
  struct fixture w;
  struct raw r;
  uint8_t bytes[8192] = { 0, 0, 0x40, 0 };

  conn_fixture_init (&w);
  conn_raw_dial (&w, &r, bytes, sizeof bytes);
  conn_run_until (&w, conn_b_closed);
  cr_assert_eq (w.b.err, WY_INNER_ETOOBIG);
}

/* An attacker replays a recorded handshake of an entry.  The new nonce of the
   listener makes the old proof invalid.  */
Test (conn, replayed_handshake_is_rejected)
{
  struct fixture w;
  struct fixture again;
  struct raw r;

  conn_fixture_init (&w);
  conn_relay_init (&w);
  conn_dial (&w, w.relay.port);
  conn_run_until (&w, conn_both_ready);
  cr_assert_gt (w.relay.seen->len, 100);

  conn_fixture_init (&again);
  conn_raw_dial (&again, &r, w.relay.seen->data, w.relay.seen->len);
  conn_run_until (&again, conn_b_closed);
  cr_assert_eq (again.b.err, WY_INNER_EAUTH);
  cr_assert_eq (again.b.ready, 0);
}
