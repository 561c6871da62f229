/* What targets tell of themselves in heartbeats: load, leaving, being down,
   the configuration they have.  */
#include "entry/reports.h"

#include "entry/acks.h"
#include "entry/peers.h"
#include "entry/pool.h"
#include "entry/suspect_rows.h"
#include "trace/log.h"

enum
{
  /* A frame with the configuration is not sent again before this.  */
  CONFIG_RESEND_MS = 1000
};

/* Send P the configuration in force unless it has it.  */
void
wy_peer_push_config (struct wy_peer *p)
{
  struct wy_entry *e = p->entry;
  const char *text = wy_config_feed_text (e->feed);
  int64_t revision = wy_config_feed_revision (e->feed);
  int64_t now_ms = wy_clock_mono_ms (e->clock);
  struct wy_frame f = { .kind = WY_FRAME_CONFIG };

  if (!text || p->config_revision >= revision
      || (p->config_sent == revision && now_ms < p->config_again_ms))
    return;
  f.u.config.revision = revision;
  f.u.config.confirmed_ms = wy_config_feed_confirmed_ms (e->feed);
  f.u.config.json = wy_bytes_of (text);
  p->config_sent = revision;
  p->config_again_ms = now_ms + CONFIG_RESEND_MS;
  wy_peer_send (p, &f);
}

/* Take in whether P is leaving; a leaving target gets no new work.  */
void
wy_peer_set_leaving (struct wy_peer *p, bool leaving)
{
  if (p->leaving == leaving)
    return;
  p->leaving = leaving;
  wy_log (WY_LOG_INFO, leaving ? "peer.leaving" : "peer.staying", "target=%s",
          p->id);
  if (leaving)
    {
      wy_pool_close (p);
      wy_acks_flush (p->entry, p);
    }
  else if (!p->down)
    wy_pool_reopen (p);
}

/* Take in whether the target of P is down beside its agent: the agent lives
   and would refuse everything.  */
static void
set_down (struct wy_peer *p, bool down)
{
  if (p->down == down)
    return;
  p->down = down;
  if (down && p->entry->suspect_rows)
    wy_suspect_rows_hurry (p->entry->suspect_rows);
  wy_log (WY_LOG_INFO, down ? "target.down" : "target.up", "target=%s", p->id);
  if (down)
    wy_pool_close (p);
  else if (!p->leaving)
    wy_pool_reopen (p);
}

/* Take in what P told of itself in a heartbeat.  */
void
wy_peer_report (struct wy_peer *p, const struct wy_frame_ping *ping)
{
  struct wy_entry *e = p->entry;
  int64_t now_ms = wy_clock_mono_ms (e->clock);

  wy_trace_observe (e->trace, ping->timestamp);
  p->config_revision = ping->config_revision;
  if (ping->config_revision > wy_config_feed_revision (e->feed))
    wy_config_feed_poll (e->feed);
  wy_peer_push_config (p);
  if (!ping->has_load)
    return;
  p->has_load = true;
  p->load = ping->load;
  if (!p->weights_source && p->load.weights_port)
    p->weights_source
        = g_strdup_printf ("%s:%u", p->host, p->load.weights_port);
  wy_pool_load (p);
  /* The load is the newer word of the same process: a drained target that
     was taken back no longer leaves.  */
  p->told_leaving = ping->load.leaving;
  wy_peer_set_leaving (p, !p->listed || p->list_leaving || p->told_leaving);
  set_down (p, !ping->load.target_up);
  if (p->slot < 0)
    return;
  for (uint32_t i = 0; i < ping->n_prefixes; i++)
    wy_placement_cache_event (p->pool->place, (uint32_t)p->slot,
                              ping->prefixes[i], true, now_ms);
}
