/* Heartbeat of a connection, and the timeouts of each state.

   An entry keeps connections to tens of targets and uses few of them at any
   time.  At the interval that detects a dead connection within a second, the
   heartbeats of all of them would cost several times the CPU time that a host
   may spend on control traffic.  So the interval depends on use: while a
   response is expected, both ends send a PING every heartbeat_ms.  On an idle
   connection the dialer sends PINGs at a much longer interval, and the
   listener only when its load has changed.  The first frame sent on an idle
   connection is followed by a PING at once, so a dead connection is detected
   as fast as on a busy one.  */
#include "inner/conn_state.h"

#include <stdlib.h>

enum
{
  /* Factor on heartbeat_ms for an idle connection.  If the connection is dead,
     the first use has to reconnect.  */
  IDLE_FACTOR = 32,
  /* Factor on heartbeat_ms for reports of a changed load on an idle
     connection.  */
  REPORT_FACTOR = 4,
  /* A count that changed by less than a quarter doesn't affect placement.  */
  CHANGE_DIVISOR = 4
};

static int64_t
now_ms (const struct wy_conn *c)
{
  return wy_clock_mono_ms (c->identity->clock);
}

static void
fill_ping_frame (struct wy_conn *c, struct wy_frame *f)
{
  if (c->events.fill_ping)
    c->events.fill_ping (c->events.ctx, c, &f->u.ping);
}

static void
send_ping (struct wy_conn *c, struct wy_frame *f)
{
  if (f->u.ping.has_load)
    {
      c->load_sent = true;
      c->last_load = f->u.ping.load;
    }
  c->last_revision = f->u.ping.config_revision;
  wy_conn_enqueue (c, f);
}

/* Send a PING or PONG with SEQ.  */
void
wy_heartbeat_send (struct wy_conn *c, enum wy_frame_kind kind, uint64_t seq)
{
  struct wy_frame f = { .kind = kind };

  fill_ping_frame (c, &f);
  f.u.ping.seq = seq;
  send_ping (c, &f);
}

static void
ping_now (struct wy_conn *c, int64_t now)
{
  c->last_ping_ms = now;
  if (!c->oldest_ping_ms)
    c->oldest_ping_ms = now;
  wy_heartbeat_send (c, WY_FRAME_PING, ++c->seq);
}

/* Send a PING immediately.  */
void
wy_heartbeat_ping (struct wy_conn *c)
{
  ping_now (c, now_ms (c));
}

/* Handle the PONG for the PING with SEQ.  Later PINGs were sent no later than
   now.  */
void
wy_heartbeat_on_pong (struct wy_conn *c, uint64_t seq)
{
  c->oldest_ping_ms = seq < c->seq ? now_ms (c) : 0;
}

/* Called after a frame was sent.  On an idle connection a PING follows it, to
   test whether the peer is alive.  */
void
wy_heartbeat_on_send (struct wy_conn *c)
{
  int64_t now = now_ms (c);

  if (c->state == WY_CONN_READY && !c->oldest_ping_ms
      && now - c->last_ping_ms >= c->identity->heartbeat_ms)
    ping_now (c, now);
}

static bool
changed (int64_t was, int64_t is)
{
  return (was == 0) != (is == 0) || llabs (is - was) > was / CHANGE_DIVISOR;
}

/* Whether the load L must be reported to the peer, SINCE_MS after the last
   PING.  A target that is leaving, has failed or has changed its version is
   reported at once, since it would be chosen wrongly until then.  */
static bool
must_report (const struct wy_conn *c, const struct wy_target_load *l,
             int64_t since_ms)
{
  const struct wy_target_load *t = &c->last_load;

  if (!c->load_sent || l->leaving != t->leaving || l->target_up != t->target_up
      || l->version != t->version || l->staged_version != t->staged_version)
    return true;
  if (since_ms < (int64_t)c->identity->heartbeat_ms * REPORT_FACTOR)
    return false;
  return changed (t->running, l->running)
         || changed (t->queued_interactive, l->queued_interactive)
         || changed (t->queued_rollout, l->queued_rollout)
         || changed (t->kv_used_tokens, l->kv_used_tokens);
}

static bool
ping_due (struct wy_conn *c, int64_t now)
{
  const struct wy_inner_identity *id = c->identity;
  int64_t since_ms = now - c->last_ping_ms;
  struct wy_frame f = { .kind = WY_FRAME_PING };

  if (!c->events.is_busy || c->events.is_busy (c->events.ctx, c))
    return true;
  if (!c->listener && since_ms >= (int64_t)id->heartbeat_ms * IDLE_FACTOR)
    return true;
  fill_ping_frame (c, &f);
  /* A configuration spreads from the entry that received it to its agents, and
     from these to entries that don't have it.  */
  if (f.u.ping.config_revision != c->last_revision)
    return true;
  return f.u.ping.has_load && must_report (c, &f.u.ping.load, since_ms);
}

/* Check the timeouts and send a PING if one is due.  Received bytes don't
   prove that the other direction works: if a link loses only what this side
   sends, PONGs are missing while the peer's PINGs still arrive.  If this
   process itself was delayed, data from the peer may be waiting to be read, so
   the delay isn't counted as silence of the peer.  */
static void
on_tick (uv_timer_t *t)
{
  struct wy_conn *c = t->data;
  const struct wy_inner_identity *id = c->identity;
  int64_t now = now_ms (c);
  int64_t late = now - c->last_tick_ms - id->heartbeat_ms;

  c->last_tick_ms = now;
  if (late > id->heartbeat_ms)
    {
      c->started_ms += late;
      if (c->oldest_ping_ms)
        c->oldest_ping_ms += late;
    }
  if (c->state != WY_CONN_READY)
    {
      if (now - c->started_ms >= id->handshake_timeout_ms)
        wy_conn_fail (c, c->state == WY_CONN_CONNECTING ? WY_INNER_ECONNECT
                                                        : WY_INNER_ETIMEDOUT);
      return;
    }
  if (c->oldest_ping_ms && now - c->oldest_ping_ms > id->silence_limit_ms)
    {
      wy_conn_fail (c, WY_INNER_ETIMEDOUT);
      return;
    }
  if (ping_due (c, now))
    ping_now (c, now);
}

/* Complete the handshake: notify the owner and start the heartbeat.  */
void
wy_conn_become_ready (struct wy_conn *c)
{
  if (c->state == WY_CONN_CLOSED)
    return;
  c->state = WY_CONN_READY;
  if (c->events.on_ready)
    c->events.on_ready (c->events.ctx, c, c->process, c->incarnation,
                        c->availability_zone);
  if (c->state == WY_CONN_READY)
    ping_now (c, now_ms (c));
}

/* Start the timer of C at the beginning of its handshake.  */
void
wy_heartbeat_start (struct wy_conn *c)
{
  const struct wy_inner_identity *id = c->identity;

  c->started_ms = now_ms (c);
  c->last_tick_ms = c->started_ms;
  uv_timer_start (&c->timer, on_tick, id->heartbeat_ms, id->heartbeat_ms);
}
